#ifndef SAPPHIREMOOR_TESTS_SOAK_INVARIANTCHECKER_H
#define SAPPHIREMOOR_TESTS_SOAK_INVARIANTCHECKER_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sapphiremoor::soak {

/// Records what callers, backend servers and operators observe, and adds a
/// violation for each invariant that does not hold.
class InvariantChecker {
public:
  /// Records that a job was sent for the first time. The caller may forget a
  /// \p Stored job once the job is accepted.
  void recordSubmission(const std::string &Job, unsigned TaskCount,
                        bool Stored);
  /// Records that a backend server started a run of \p Task. It is a violation
  /// if the task was never submitted, if it runs already, or if it belongs to a
  /// stored job and its end was acknowledged.
  void recordRunStart(const std::string &Backend, const std::string &Task);
  void recordRunEnd(const std::string &Backend, const std::string &Task,
                    bool Succeeded);
  /// Records that the end of a successful run was acknowledged before its lease
  /// expired.
  void recordEndAcknowledged(const std::string &Task) {
    AcknowledgedEnds.insert(Task);
  }
  /// Records \p State as the response to a query for an accepted job; empty if
  /// the job is unknown. Returns true if the job has ended.
  bool recordJobState(const std::string &Job, const std::string &State);
  /// Returns true if all accepted jobs have ended.
  bool allAcceptedJobsEnded() const;
  /// Adds a violation for each accepted job that has not ended.
  void checkAcceptedJobsEnded();
  /// Records that the runs of a backend server exceed its capacity.
  void recordOvercommit(const std::string &Backend);

  /// Records the response to a submitted job; \p StatusCode is 0 if none
  /// arrived.
  void recordResponse(const std::string &Job, int StatusCode,
                      const std::string &Body);
  /// Records that an undisturbed VM sent no response in time.
  void recordResponseTimeout(const std::string &Job, const std::string &Vm);

  void recordConfigAcknowledged(uint64_t Version, const std::string &Body);
  /// Records the result of a read; \p MinVersion was the newest acknowledged
  /// version when the read began.
  void recordConfigRead(uint64_t MinVersion, const std::string &Body);
  uint64_t newestAcknowledgedVersion() const { return NewestVersion; }

  void addViolation(const std::string &Description) {
    Violations.push_back(Description);
  }
  const std::vector<std::string> &violations() const { return Violations; }
  uint64_t doneCount() const { return DoneCount; }
  uint64_t refusedCount() const { return RefusedCount; }
  uint64_t unclearCount() const { return UnclearCount; }

private:
  struct JobRecord {
    unsigned TaskCount = 0;
    std::set<std::string> DoneTasks;
    bool Started = false;
    /// Set if the response to an attempt did not rule out that the job started.
    bool MayHaveStarted = false;
    bool Stored = false;
    bool Accepted = false;
    bool Ended = false;
  };

  std::map<std::string, JobRecord> Jobs;
  /// Maps each running task to its backend server.
  std::map<std::string, std::string> RunningTasks;
  std::set<std::string> AcknowledgedEnds;
  std::map<uint64_t, std::string> AcknowledgedConfigs;
  uint64_t NewestVersion = 0;
  uint64_t DoneCount = 0;
  uint64_t RefusedCount = 0;
  uint64_t UnclearCount = 0;
  std::vector<std::string> Violations;
};

} // namespace sapphiremoor::soak

#endif // SAPPHIREMOOR_TESTS_SOAK_INVARIANTCHECKER_H
