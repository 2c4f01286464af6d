#ifndef SAPPHIREMOOR_TESTS_SOAK_LEDGER_H
#define SAPPHIREMOOR_TESTS_SOAK_LEDGER_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sapphiremoor::soak {

/// Keeps what callers, backend servers and operators saw, and notes each
/// promise that was broken.
class InvariantChecker {
public:
  /// A job was sent for the first time. A \p Stored one may be forgotten by its
  /// caller once it is accepted.
  void recordSubmission(const std::string &Job, unsigned TaskCount,
                        bool Stored);
  /// A backend server began a run; false if that broke a promise.
  void recordRunStart(const std::string &Backend, const std::string &Task);
  void recordRunEnd(const std::string &Backend, const std::string &Task,
                    bool Done);
  /// A run that was done was confirmed before its lease had expired.
  void recordEndAcknowledged(const std::string &Task) {
    AcknowledgedEnds.insert(Task);
  }
  /// A caller asked for an accepted job and was told \p State, or that it is
  /// not known. Returns true if the job has ended.
  bool recordJobState(const std::string &Job, const std::string &State);
  /// Returns true if all accepted jobs have ended.
  bool allAcceptedJobsEnded() const;
  /// Accepted jobs have to have ended by now.
  void checkAcceptedJobsEnded();
  /// A backend server holds more than its capacity.
  void recordOvercommit(const std::string &Backend);

  /// A caller got the answer \p StatusCode with \p Body.
  void recordResponse(const std::string &Job, int StatusCode,
                      const std::string &Body);
  /// A VM that was undisturbed gave no answer in time.
  void recordResponseTimeout(const std::string &Job, const std::string &Vm);

  void recordConfigAcknowledged(uint64_t Version, const std::string &Body);
  /// A read that began when \p MinVersion was the newest acknowledged version.
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
    /// Some attempt was not answered with a refusal.
    bool MayHaveStarted = false;
    bool Stored = false;
    bool Accepted = false;
    bool Ended = false;
  };

  std::map<std::string, JobRecord> Jobs;
  /// Where each task runs.
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

#endif // SAPPHIREMOOR_TESTS_SOAK_LEDGER_H
