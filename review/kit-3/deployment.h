#ifndef REVIEW_KIT3_DEPLOYMENT_H
#define REVIEW_KIT3_DEPLOYMENT_H

// Starts the processes of the deploy file on loopback addresses, plays the
// operator, and stops everything at the end.

#include "http.h"
#include "record.h"
#include "worker.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <stdexcept>

namespace review {

/// Thrown if the case could not run.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

constexpr uint16_t PeerPort = 7720;
constexpr uint16_t ControlPort = 8166;
constexpr uint16_t FrontPort = 8161;
constexpr uint16_t ReadyPort = 8167;
constexpr uint16_t MetricsPort = 9464;
constexpr uint16_t WorkerPort = 8080;

inline void pause(double Seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

/// One process of the deploy file on its own loopback address.
class Process {
public:
  Process(std::string Name, std::string Role, std::string Zone, std::string Ip,
          std::filesystem::path Folder, Record &Log)
      : Name(std::move(Name)), Role(std::move(Role)), Zone(std::move(Zone)),
        Ip(std::move(Ip)), Folder(std::move(Folder)), Log(Log) {}
  ~Process() { kill(); }
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void start(const std::string &Program, const std::vector<std::string> &Seeds,
             bool First) {
    std::filesystem::create_directories(Folder / "data");
    Json Settings = {{"name", Name},
                     {"data_centre", Zone},
                     {"role", Role},
                     {"peer", Endpoint{Ip, PeerPort}.text()},
                     {"seeds", Seeds},
                     {"seed_port", PeerPort},
                     {"metrics", Endpoint{Ip, MetricsPort}.text()},
                     {"first_start", First},
                     {"tolerated_losses", 1},
                     {"stop_limit_s", 6.0},
                     {"longest_lease_ms", 1000},
                     {"trusted_network", true}};
    if (Role == "control") {
      Settings["control"] = Endpoint{Ip, ControlPort}.text();
      Settings["data_folder"] = (Folder / "data").string();
    } else {
      Settings["front"] = Endpoint{Ip, FrontPort}.text();
      Settings["ready"] = Endpoint{Ip, ReadyPort}.text();
    }
    const std::string SettingsPath = (Folder / "local.json").string();
    std::ofstream(SettingsPath) << Settings.dump(1);
    const std::string LogPath = (Folder / "log.txt").string();
    const std::string Boot = "SAPPHIREMOOR_BOOT=" + SettingsPath;
    const std::string Path = "PATH=/usr/bin:/bin";
    Pid = fork();
    if (Pid == 0) {
      // Also if this program is killed, and also while frozen.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int File =
          open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(File, 1);
      dup2(File, 2);
      const char *Arguments[] = {Program.c_str(), "node", nullptr};
      const char *Environment[] = {Boot.c_str(), Path.c_str(), "HOME=/tmp",
                                   "LANG=C", nullptr};
      execve(Program.c_str(), const_cast<char **>(Arguments),
             const_cast<char **>(Environment));
      _exit(127);
    }
    if (Pid < 0)
      throw CannotRun("fork failed");
    Log.line("process %s started at %s", Name.c_str(), Ip.c_str());
  }

  void send(int Signal, const std::string &Word) {
    if (Pid <= 0)
      return;
    ::kill(Pid, Signal);
    Log.say(Word + " " + Name);
  }
  void freeze() { send(SIGSTOP, "freeze"); }
  void thaw() { send(SIGCONT, "thaw"); }

  void kill() {
    if (Pid <= 0)
      return;
    ::kill(Pid, SIGKILL);
    waitpid(Pid, nullptr, 0);
    Pid = -1;
    Log.line("process %s killed", Name.c_str());
  }

  /// True if the process ended by itself.
  bool hasEnded() {
    if (Pid <= 0)
      return false;
    int Status = 0;
    if (waitpid(Pid, &Status, WNOHANG) != Pid)
      return false;
    Pid = -1;
    return true;
  }

  bool isReady() const {
    return call({Ip, ReadyPort}, "GET", "/api/ready", Ip, "",
                std::chrono::milliseconds(500))
               .Status == 200;
  }

  const std::string Name;
  const std::string Role;
  const std::string Zone;
  const std::string Ip;
  const std::filesystem::path Folder;

private:
  Record &Log;
  pid_t Pid = -1;
};

struct DeploymentSettings {
  std::vector<std::string> Zones = {"trencin", "nitra", "zilina"};
  int EntriesPerZone = 1;
  std::string Service = "objednavky";
  /// Attempts and slo_ms of the queue.
  int Attempts = 3;
  int SloMs = 2000;
};

class Deployment {
public:
  Deployment(DeploymentSettings Settings, Record &Log)
      : Settings(std::move(Settings)), Log(Log) {
    char Name[] = "/tmp/review3-XXXXXX";
    if (mkdtemp(Name) == nullptr)
      throw CannotRun("no temporary folder");
    Folder = Name;
    chooseAddresses();
    const char *FromOutside = getenv("REVIEW_PROGRAM");
    Program =
        FromOutside != nullptr ? FromOutside : "target/src/app/sapphiremoor";
    if (access(Program.c_str(), X_OK) != 0)
      throw CannotRun(Program + " isn't built");
  }

  ~Deployment() {
    Workers.clear();
    Processes.clear();
    const char *Keep = getenv("KEEP_LOGS");
    if (Keep != nullptr)
      std::filesystem::copy(
          Folder, Keep,
          std::filesystem::copy_options::recursive |
              std::filesystem::copy_options::overwrite_existing);
    std::filesystem::remove_all(Folder);
  }

  void startProcesses() {
    for (std::size_t Zone = 0; Zone < Settings.Zones.size(); ++Zone) {
      const std::string &ZoneName = Settings.Zones[Zone];
      add("core-" + ZoneName + "-1", "control", ZoneName, ip(Zone, 1));
      Seeds.push_back(Endpoint{ip(Zone, 1), ControlPort}.text());
      for (int Entry = 1; Entry <= Settings.EntriesPerZone; ++Entry)
        add("edge-" + ZoneName + "-" + std::to_string(Entry), "entry", ZoneName,
            ip(Zone, 10 + Entry));
    }
    for (const auto &Each : Processes)
      Each->start(Program, Seeds, true);
  }

  void restart(Process &Which) { Which.start(Program, Seeds, false); }

  Process &process(const std::string &Name) {
    for (const auto &Each : Processes)
      if (Each->Name == Name)
        return *Each;
    throw CannotRun("no process " + Name);
  }
  Process &control(std::size_t Zone) {
    return process("core-" + Settings.Zones[Zone] + "-1");
  }
  std::vector<Process *> entries(std::size_t Zone) {
    std::vector<Process *> Found;
    for (const auto &Each : Processes)
      if (Each->Role == "entry" && Each->Zone == Settings.Zones[Zone])
        Found.push_back(Each.get());
    return Found;
  }

  Worker &addWorker(std::size_t Zone, const std::string &Id,
                    const std::string &Rack, const std::string &Kind = "a") {
    WorkerSettings New;
    New.Id = Id;
    New.Address = {ip(Zone, 100 + static_cast<int>(Workers.size())),
                   WorkerPort};
    New.Service = Settings.Service;
    New.Zone = Settings.Zones[Zone];
    New.Rack = Rack;
    New.Kind = Kind;
    for (std::size_t Step = 0; Step < Settings.Zones.size(); ++Step)
      New.Controls.push_back(
          {ip((Zone + Step) % Settings.Zones.size(), 1), ControlPort});
    Workers.push_back(std::make_unique<Worker>(New, Log));
    if (!Workers.back()->start())
      throw CannotRun("address of a worker is in use");
    return *Workers.back();
  }
  Worker &worker(const std::string &Id) {
    for (const auto &Each : Workers)
      if (Each->settings().Id == Id)
        return *Each;
    throw CannotRun("no worker " + Id);
  }

  /// Sends a config with one queue until it is accepted, and waits until the
  /// entries are ready.
  void putConfig(int Version = 1) {
    const Json Config = {{"version", Version},
                         {"routes",
                          {{{"name", "r-1"},
                            {"host", Host},
                            {"path_prefix", Prefix},
                            {"kind", "unsafe"},
                            {"timeout_ms", 1500},
                            {"slo_ms", Settings.SloMs},
                            {"priority", 0},
                            {"service", Settings.Service},
                            {"attempts", Settings.Attempts},
                            {"stretch", 1.6}}}},
                         {"services",
                          {{{"name", Settings.Service},
                            {"health_path", "/health"},
                            {"max_conns", 64},
                            {"protocol", "h1"},
                            {"tls", false},
                            {"rejects_overload", false},
                            {"standby", false}}}},
                         {"limits",
                          {{"max_header_bytes", 16384},
                           {"max_body_bytes", 262144},
                           {"header_timeout_ms", 3000},
                           {"idle_timeout_ms", 15000}}}};
    const auto GiveUpAt = Clock::now() + std::chrono::seconds(20);
    for (std::size_t Try = 0;; ++Try) {
      const std::string Where = ip(Try % Settings.Zones.size(), 1);
      const HttpAnswer Answer =
          call({Where, ControlPort}, "POST", "/api/config/put", Where,
               Config.dump(), std::chrono::milliseconds(1000));
      if (Answer.Status == 200)
        break;
      if (Clock::now() > GiveUpAt)
        throw CannotRun("the config isn't accepted: " +
                        std::to_string(Answer.Status) + " " + Answer.Body);
      pause(0.1);
    }
    Log.line("config %d acknowledged", Version);
    while (std::ranges::any_of(Processes, [](const auto &Each) {
      return Each->Role == "entry" && !Each->isReady();
    })) {
      if (Clock::now() > GiveUpAt)
        throw CannotRun("an entry isn't ready");
      pause(0.1);
    }
  }

  /// Waits until all workers get orders.
  void waitForWorkers() {
    const auto GiveUpAt = Clock::now() + std::chrono::seconds(20);
    while (!std::ranges::all_of(
        Workers, [](const auto &Each) { return Each->heardWithin(1.5); })) {
      if (Clock::now() > GiveUpAt)
        throw CannotRun("a worker gets no orders");
      pause(0.1);
    }
  }

  std::string ip(std::size_t Zone, int Host) const {
    return "127." + std::to_string(Net) + "." + std::to_string(Zone + 1) + "." +
           std::to_string(Host);
  }

  const std::string Host = "nony24.example";
  const std::string Prefix = "/lohu930/";
  const DeploymentSettings Settings;
  std::vector<std::unique_ptr<Worker>> Workers;
  std::vector<std::unique_ptr<Process>> Processes;

private:
  void add(const std::string &Name, const std::string &Role,
           const std::string &Zone, const std::string &Ip) {
    Processes.push_back(
        std::make_unique<Process>(Name, Role, Zone, Ip, Folder / Name, Log));
  }

  /// Chooses a loopback network whose ports are free.
  void chooseAddresses() {
    for (int Try = 0; Try < 100; ++Try) {
      Net = 20 + (getpid() + Try * 7) % 200;
      bool Free = true;
      for (const uint16_t Port : {PeerPort, ControlPort, FrontPort, ReadyPort,
                                  MetricsPort, WorkerPort}) {
        const int Socket = listenOn({ip(0, 1), Port});
        Free = Free && Socket >= 0;
        if (Socket >= 0)
          close(Socket);
      }
      if (Free)
        return;
    }
    throw CannotRun("no free ports");
  }

  Record &Log;
  std::filesystem::path Folder;
  std::string Program;
  std::vector<std::string> Seeds;
  int Net = 0;
};

/// Clients of one zone; they send again as PROTOCOL.md says.
class Client {
public:
  Client(Deployment &System, Record &Log) : System(System), Log(Log) {}

  /// Submits a job, sends it again after no answer, 502 or 504, and returns
  /// the last status.
  int submit(std::size_t Zone, const std::string &Id, const Json &Job,
             double Seconds = 30) {
    const auto GiveUpAt =
        Clock::now() + std::chrono::duration_cast<Clock::duration>(
                           std::chrono::duration<double>(Seconds));
    const auto Entries = System.entries(Zone);
    for (std::size_t Try = 0;; ++Try) {
      const HttpAnswer Answer =
          ask(*Entries[Try % Entries.size()], "POST", Id, Job.dump());
      if ((Answer.Status != 0 && Answer.Status != 502 &&
           Answer.Status != 504) ||
          Clock::now() > GiveUpAt)
        return Answer.Status;
      pause(0.2);
    }
  }

  /// Returns the state of a job, "410", or "none" if no answer came.
  std::string state(std::size_t Zone, const std::string &Id) {
    const HttpAnswer Answer = ask(*System.entries(Zone).front(), "GET", Id, "");
    if (Answer.Status == 410)
      return "410";
    const Json Body = Json::parse(Answer.Body, nullptr, false);
    if (Answer.Status != 200 || !Body.is_object())
      return "none";
    return Body.value("state", "none");
  }

  HttpAnswer ask(Process &Entry, const std::string &Method,
                 const std::string &Id, const std::string &Body) {
    Log.line("client %s %s at %s %s", Method.c_str(), Id.c_str(),
             Entry.Name.c_str(), Body.c_str());
    const HttpAnswer Answer =
        call({Entry.Ip, FrontPort}, Method, System.Prefix + Id, System.Host,
             Body, std::chrono::milliseconds(1500));
    Log.line("answer %s %s: %d %s", Method.c_str(), Id.c_str(), Answer.Status,
             Answer.Body.c_str());
    return Answer;
  }

private:
  Deployment &System;
  Record &Log;
};

inline std::string jobId(uint64_t Number) {
  char Text[17];
  snprintf(Text, sizeof(Text), "%016lx", 0x5c0e7a2100000000UL + Number);
  return Text;
}

inline bool isTroubled() {
  const char *Trouble = getenv("TROUBLE");
  return Trouble == nullptr || std::string(Trouble) != "0";
}

/// TWICE: returns the number of starts that break the rule, and writes them to
/// the record. A span of time in which impairments were near is given from
/// contact_ms before the first to contact_ms after the last; inside it an end
/// is taken note of only when ack_cursor reaches it.
inline int countTwice(Record &Log, double TroubleFrom = 1e9,
                      double TroubleTo = -1) {
  constexpr double NoteDelay = 0.1;
  std::vector<RunRecord> Runs;
  {
    const std::lock_guard Lock(Log.Mutex);
    Runs = Log.Runs;
  }
  std::map<std::string, std::vector<const RunRecord *>> ByTask;
  for (const RunRecord &Run : Runs)
    ByTask[Run.Task].push_back(&Run);
  const auto IsCalm = [&](double From, double To) {
    return To < TroubleFrom || From > TroubleTo;
  };
  int Broken = 0;
  for (const auto &[Task, Starts] : ByTask)
    for (const RunRecord *Later : Starts)
      for (const RunRecord *Earlier : Starts) {
        if (Earlier == Later || Earlier->StartedAt > Later->StartedAt)
          continue;
        const char *Why = nullptr;
        if (Earlier->EndedAt < 0 || Earlier->EndedAt > Later->StartedAt)
          Why = "while an earlier run goes on";
        else if (Earlier->How == "done" && Earlier->AckedAt >= 0 &&
                 Earlier->LapsedAt < 0)
          Why = "after an end that ack_cursor reached";
        else if (Earlier->How == "done" && Earlier->ListedAt >= 0 &&
                 (Earlier->LapsedAt < 0 ||
                  Earlier->LapsedAt > Earlier->ListedAt + NoteDelay) &&
                 IsCalm(Earlier->EndedAt, Later->StartedAt + NoteDelay))
          Why = "after an end that was listed in calm";
        if (Why == nullptr)
          continue;
        if (++Broken <= 1000)
          Log.line("TWICE %s run %lu started at %.3f on %s %s: run %lu on %s "
                   "ended %s at %.3f, listed %.3f, acked %.3f",
                   Task.c_str(), Later->Run, Later->StartedAt,
                   Later->Worker.c_str(), Why, Earlier->Run,
                   Earlier->Worker.c_str(), Earlier->How.c_str(),
                   Earlier->EndedAt, Earlier->ListedAt, Earlier->AckedAt);
      }
  return Broken;
}

/// Runs a case and returns its exit status.
inline int runCase(const std::function<bool(Record &)> &Holds) {
  signal(SIGPIPE, SIG_IGN);
  Record Log("record.txt");
  try {
    if (Holds(Log)) {
      Log.say("result: held");
      return 0;
    }
    Log.say("result: broken");
    return 1;
  } catch (const std::exception &Problem) {
    Log.say(std::string("result: could not run: ") + Problem.what());
    return 2;
  }
}

} // namespace review

#endif // REVIEW_KIT3_DEPLOYMENT_H
