#ifndef SAPPHIREMOOR_REVIEW_KIT_DEPLOYMENT_H
#define SAPPHIREMOOR_REVIEW_KIT_DEPLOYMENT_H

#include "worker.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review {

/// Exit codes of a case.
inline constexpr int RuleHeld = 0;
inline constexpr int RuleBroken = 1;
inline constexpr int CannotRun = 2;

inline const std::string Service = "svc1";
inline const std::string Host = "jobs.example";
/// Path prefix of the only queue.
inline const std::string Prefix = "/q1/";

/// Returns false if the environment variable TROUBLE is 0.
bool withTrouble();

/// Three zones with one control VM and one entry VM each, as processes of the
/// deploy file's program on loopback addresses, and stand-ins for workers.
class Deployment {
public:
  /// With \p RelayPeers, the links between VMs pass through relays, so that a
  /// zone can be cut off.
  Deployment(Record &Events, RunLog &Runs, bool RelayPeers = false);
  /// Ends all processes.
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  static constexpr std::size_t Zones = 3;

  /// Starts all VMs for the first time and \p WorkersPerZone workers in each
  /// zone, sends the first config with \p TimeoutMs for the queue, and waits
  /// until every zone accepts jobs. Returns false if that takes too long.
  bool start(std::size_t WorkersPerZone, int64_t TimeoutMs);

  /// Kills the control VM of a zone with SIGKILL.
  void killControl(std::size_t Zone);
  /// Starts the control VM of a zone again, on its former disk.
  void restartControl(std::size_t Zone) { startVm(Zone, true, false); }
  /// Cuts a zone off from the VMs and workers of the others, silently.
  void cutZone(std::size_t Zone);
  /// Ends the cut.
  void healZone();
  /// Returns false if a VM has ended by itself.
  bool allRunning() const;

  /// Front address of the entry VM of a zone.
  Address front(std::size_t Zone) const;
  Address control(std::size_t Zone) const;
  /// Another free address on the network of this deployment.
  Address spareAddress(uint8_t Number) const;
  std::string zoneName(std::size_t Zone) const;

  /// Submits a job at \p Where and records the answer.
  HttpAnswer submit(const Address &Where, const std::string &Id,
                    const nlohmann::json &Job, int64_t DeadlineMs);
  /// Returns the state of a job, "410", or an empty text without an answer.
  std::string state(const Address &Where, const std::string &Id);

private:
  struct Process {
    int Pid = -1;
    bool Killed = false;
  };

  static constexpr int NoZone = -1;

  Address vm(std::size_t Zone, bool Control, uint16_t Port) const;
  /// Address under which other VMs reach the control VM of a zone.
  Address peer(std::size_t Zone, uint16_t Port) const;
  void startRelays();
  void startVm(std::size_t Zone, bool Control, bool FirstStart);
  bool waitUntilReady(int64_t TimeoutMs);

  Record &Events;
  RunLog &Runs;
  bool RelayPeers;
  std::atomic<int> CutZone = NoZone;
  std::vector<std::unique_ptr<Relay>> Relays;
  std::string Net;
  std::string Folder;
  std::map<std::string, Process> Processes;
  std::map<std::string, std::unique_ptr<Worker>> Workers;
};

/// Returns an id of 16 hexadecimal digits.
std::string jobId(uint64_t Number);

} // namespace review

#endif // SAPPHIREMOOR_REVIEW_KIT_DEPLOYMENT_H
