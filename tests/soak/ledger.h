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
class Ledger {
public:
  /// A job was sent for the first time. A \p Stored one may be forgotten by its
  /// caller once it is accepted.
  void submitted(const std::string &Job, unsigned Tasks, bool Stored);
  /// A backend server began a run; false if that broke a promise.
  void started(const std::string &Backend, const std::string &Task);
  void ended(const std::string &Backend, const std::string &Task, bool Done);
  /// A run that was done was confirmed before its lease had expired.
  void confirmed(const std::string &Task) { Confirmed.insert(Task); }
  /// A caller asked for an accepted job and was told \p State, or that it is
  /// not known. Returns true if the job has ended.
  bool stateTold(const std::string &Job, const std::string &State);
  /// Returns true if all accepted jobs have ended.
  bool allEnded() const;
  /// Accepted jobs have to have ended by now.
  void checkAccepted();
  /// A backend server holds more than its capacity.
  void overfilled(const std::string &Backend);

  /// A caller got the answer \p Status with \p Body.
  void answered(const std::string &Job, int Status, const std::string &Body);
  /// A VM that was undisturbed gave no answer in time.
  void unanswered(const std::string &Job, const std::string &Vm);

  void configAcknowledged(uint64_t Version, const std::string &Body);
  /// A read that began when \p Floor was the newest acknowledged version.
  void configRead(uint64_t Floor, const std::string &Body);
  uint64_t newestAcknowledged() const { return Newest; }

  void broken(const std::string &What) { Violations.push_back(What); }
  const std::vector<std::string> &violations() const { return Violations; }
  uint64_t done() const { return Done; }
  uint64_t refused() const { return Refused; }
  uint64_t other() const { return Other; }

private:
  struct JobRecord {
    unsigned Tasks = 0;
    std::set<std::string> TasksDone;
    bool Started = false;
    /// Some attempt was not answered with a refusal.
    bool Open = false;
    bool Stored = false;
    bool Accepted = false;
    bool Ended = false;
  };

  std::map<std::string, JobRecord> Jobs;
  /// Where each task runs.
  std::map<std::string, std::string> Running;
  std::set<std::string> Confirmed;
  std::map<uint64_t, std::string> Acknowledged;
  uint64_t Newest = 0;
  uint64_t Done = 0;
  uint64_t Refused = 0;
  uint64_t Other = 0;
  std::vector<std::string> Violations;
};

} // namespace sapphiremoor::soak

#endif // SAPPHIREMOOR_TESTS_SOAK_LEDGER_H
