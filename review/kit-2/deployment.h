#ifndef REVIEW_KIT2_DEPLOYMENT_H
#define REVIEW_KIT2_DEPLOYMENT_H

#include "worker.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <random>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace kit {

struct NodeOptions {
  std::string Name;
  std::string Zone;
  bool Control = false;
  std::string Ip;
  /// Address under which the other machines reach it; its own if empty.
  std::string RelayIp = {};
};

constexpr int PeerPort = 7720;
constexpr int ControlPort = 8166;
constexpr int FrontPort = 8161;
constexpr int ReadyPort = 8167;

/// The nodes of a small deployment, started with the command of the deploy file
/// and the settings that its templates give.
class Deployment {
public:
  /// Runs in the root of the repository.
  explicit Deployment(Record &Log) : Log(Log) {
    char Name[] = "/tmp/review-XXXXXX";
    Folder = mkdtemp(Name);
    // Loopback addresses of its own, so that ports are free.
    std::random_device Random;
    Network = "127." + std::to_string(20 + Random() % 200) + ".";
  }

  ~Deployment() {
    killAll();
    std::error_code Ignored;
    std::filesystem::remove_all(Folder, Ignored);
  }

  /// Address in a zone; zones and hosts count from 1.
  std::string ip(int Zone, int Host) const {
    return Network + std::to_string(Zone) + "." + std::to_string(Host);
  }

  void add(const NodeOptions &Options) {
    Nodes[Options.Name].Options = Options;
  }

  std::vector<Address> controls() const {
    std::vector<Address> Result;
    for (const auto &[Name, Node] : Nodes)
      if (Node.Options.Control)
        Result.push_back({Node.Options.Ip, ControlPort});
    return Result;
  }

  void startAll() {
    for (auto &[Name, Node] : Nodes)
      start(Name, true);
  }

  void start(const std::string &Name, bool First) {
    NodeState &Node = Nodes.at(Name);
    writeSettings(Node.Options, First);
    Node.Pid = fork();
    if (Node.Pid == 0) {
      // The node ends with this program, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const std::string Boot = settingsPath(Name);
      const std::string LogPath = Folder + "/" + Name + ".log";
      const int Out =
          open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Out, 1);
      dup2(Out, 2);
      setenv("SAPPHIREMOOR_BOOT", Boot.c_str(), 1);
      execl("target/src/app/sapphiremoor", "target/src/app/sapphiremoor",
            "node", nullptr);
      _exit(127);
    }
    Log.line("platform starts " + Name);
  }

  void signal(const std::string &Name, int Number) {
    Log.line("platform sends signal " + std::to_string(Number) + " to " + Name);
    kill(Nodes.at(Name).Pid, Number);
  }

  /// Waits until the process has ended. Returns false after the time.
  bool waitEnd(const std::string &Name, int64_t LimitMs) {
    const int64_t Deadline = nowMs() + LimitMs;
    while (nowMs() < Deadline) {
      int Status = 0;
      if (waitpid(Nodes.at(Name).Pid, &Status, WNOHANG) > 0) {
        Nodes.at(Name).Pid = 0;
        Log.line(Name + " has ended, status " + std::to_string(Status));
        return true;
      }
      sleepMs(5);
    }
    return false;
  }

  /// SIGTERM, SIGKILL after the grace time, and a start after a short delay.
  void restartGracefully(const std::string &Name, int64_t GraceMs) {
    signal(Name, SIGTERM);
    if (!waitEnd(Name, GraceMs)) {
      signal(Name, SIGKILL);
      waitEnd(Name, 5000);
    }
    sleepMs(300);
    start(Name, false);
  }

  bool putConfig(const nlohmann::json &Config, int64_t LimitMs) {
    const int64_t Deadline = nowMs() + LimitMs;
    const std::vector<Address> Targets = controls();
    for (std::size_t Index = 0; nowMs() < Deadline; ++Index) {
      Client To(Targets[Index % Targets.size()]);
      const Answer Reply =
          To.call("POST", "/api/config/put", "control", Config.dump(), 1000);
      Log.line("config " + Config.at("version").dump() + " answered " +
               std::to_string(Reply.Status));
      if (Reply.Status == 200)
        return true;
      sleepMs(200);
    }
    return false;
  }

  bool waitReady(const std::string &Name, int64_t LimitMs) {
    const int64_t Deadline = nowMs() + LimitMs;
    while (nowMs() < Deadline) {
      Client To({Nodes.at(Name).Options.Ip, ReadyPort});
      if (To.call("GET", "/api/ready", "ready", "", 500).Status == 200)
        return true;
      sleepMs(100);
    }
    return false;
  }

  Address front(const std::string &Name) const {
    return {Nodes.at(Name).Options.Ip, FrontPort};
  }

  const std::string &folder() const { return Folder; }

  void killAll() {
    for (auto &[Name, Node] : Nodes) {
      if (Node.Pid <= 0)
        continue;
      kill(Node.Pid, SIGKILL);
      waitpid(Node.Pid, nullptr, 0);
      Node.Pid = 0;
    }
  }

private:
  struct NodeState {
    NodeOptions Options;
    pid_t Pid = 0;
  };

  static std::string reachedAt(const NodeOptions &Options) {
    return Options.RelayIp.empty() ? Options.Ip : Options.RelayIp;
  }

  std::string settingsPath(const std::string &Name) const {
    return Folder + "/" + Name + ".json";
  }

  void writeSettings(const NodeOptions &Options, bool First) const {
    nlohmann::json Seeds = nlohmann::json::array();
    for (const auto &[Name, Node] : Nodes)
      if (Node.Options.Control && Seeds.size() < 3)
        Seeds.push_back(Address{reachedAt(Node.Options), ControlPort}.text());
    nlohmann::json Root = {{"name", Options.Name},
                           {"data_centre", Options.Zone},
                           {"role", Options.Control ? "control" : "entry"},
                           {"peer", Address{Options.Ip, PeerPort}.text()},
                           {"seeds", Seeds},
                           {"seed_port", PeerPort},
                           {"metrics", Address{Options.Ip, 9464}.text()},
                           {"first_start", First},
                           {"tolerated_losses", 1},
                           {"stop_limit_s", 6},
                           {"longest_lease_ms", 1000},
                           {"trusted_network", true}};
    if (Options.Control) {
      Root["control"] = Address{Options.Ip, ControlPort}.text();
      if (!Options.RelayIp.empty())
        Root["advertised_peer"] = Address{Options.RelayIp, PeerPort}.text();
      Root["data_folder"] = Folder + "/" + Options.Name + ".data";
    } else {
      Root["front"] = Address{Options.Ip, FrontPort}.text();
      Root["ready"] = Address{Options.Ip, ReadyPort}.text();
    }
    std::ofstream(settingsPath(Options.Name)) << Root.dump(2);
  }

  Record &Log;
  std::string Folder;
  std::string Network;
  std::map<std::string, NodeState> Nodes;
};

inline nlohmann::json route(const std::string &Name, const std::string &Host,
                            const std::string &Prefix,
                            const std::string &Service, int Attempts,
                            int64_t SloMs) {
  return {{"name", Name},     {"host", Host},       {"path_prefix", Prefix},
          {"kind", "unsafe"}, {"timeout_ms", 1500}, {"slo_ms", SloMs},
          {"priority", 0},    {"service", Service}, {"attempts", Attempts},
          {"stretch", 1.6}};
}

inline nlohmann::json config(uint64_t Version, const std::string &Service,
                             const nlohmann::json &Routes) {
  const nlohmann::json ServiceEntry = {
      {"name", Service}, {"health_path", "/health"},
      {"max_conns", 64}, {"protocol", "h1"},
      {"tls", false},    {"rejects_overload", false},
      {"standby", false}};
  return {{"version", Version},
          {"routes", Routes},
          {"services", nlohmann::json::array({ServiceEntry})},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 262144},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}};
}

inline std::string jobId(uint64_t Prefix, uint64_t Number) {
  char Text[17];
  snprintf(Text, sizeof(Text), "%06llx%010llx",
           static_cast<unsigned long long>(Prefix & 0xffffff),
           static_cast<unsigned long long>(Number));
  return Text;
}

inline std::string stateOf(const Answer &Reply) {
  const auto Body = nlohmann::json::parse(Reply.Body, nullptr, false);
  if (Reply.Status != 200 || Body.is_discarded() || !Body.contains("state"))
    return "";
  return Body.at("state");
}

/// False with TROUBLE=0: the same without the disruption.
inline bool trouble() {
  const char *Value = getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

/// Ends without waiting for the threads of the stand-ins.
[[noreturn]] inline void exitCase(int Status) {
  fflush(nullptr);
  _exit(Status);
}

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int NotRun = 2;

} // namespace kit

#endif
