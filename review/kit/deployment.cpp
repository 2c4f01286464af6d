#include "deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace review {

using nlohmann::json;

namespace {

constexpr uint16_t FrontPort = 8161;
constexpr uint16_t ReadyPort = 8167;
constexpr uint16_t ControlPort = 8166;
constexpr uint16_t PeerPort = 7720;
constexpr uint16_t WorkerPort = 8080;

constexpr int64_t WorkerCpu = 32000;
constexpr int64_t WorkerMemoryMb = 131072;

/// Reads the command of the roles from the deploy file. Both roles have the
/// same one.
std::vector<std::string> runCommand() {
  std::ifstream File("deploy/system.toml");
  std::string Line;
  while (std::getline(File, Line)) {
    const std::size_t First = Line.find('"');
    if (!Line.starts_with("run = \"") || First == std::string::npos)
      continue;
    std::istringstream Words(
        Line.substr(First + 1, Line.rfind('"') - First - 1));
    std::vector<std::string> Command;
    for (std::string Word; Words >> Word;)
      Command.push_back(Word);
    return Command;
  }
  std::cerr << "deploy/system.toml names no command\n";
  std::exit(CannotRun);
}

std::string environmentEntry(const char *Name) {
  const char *Value = std::getenv(Name);
  return std::string(Name) + "=" + (Value == nullptr ? "" : Value);
}

} // namespace

bool withTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

std::string jobId(uint64_t Number) {
  std::ostringstream Text;
  Text.fill('0');
  Text.width(16);
  Text << std::hex << Number;
  return Text.str();
}

Deployment::Deployment(Record &Events, RunLog &Runs, bool RelayPeers)
    : Events(Events), Runs(Runs), RelayPeers(RelayPeers) {
  // Cases that run at the same time use networks of their own.
  int Number = getpid();
  do
    Net = "127." + std::to_string(20 + Number++ % 200) + ".";
  while (!isFree(control(0)) || !isFree(front(0)));
  Folder = (std::filesystem::temp_directory_path() /
            ("review-" + std::to_string(getpid())))
               .string();
  std::filesystem::create_directories(Folder);
  if (RelayPeers)
    startRelays();
}

Deployment::~Deployment() {
  Workers.clear();
  CutZone = NoZone;
  Relays.clear();
  for (const auto &[Name, Vm] : Processes)
    if (!Vm.Killed)
      kill(Vm.Pid, SIGKILL);
  for (const auto &[Name, Vm] : Processes)
    if (!Vm.Killed)
      waitpid(Vm.Pid, nullptr, 0);
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(Folder);
  else
    std::cerr << "kept " << Folder << "\n";
}

std::string Deployment::zoneName(std::size_t Zone) const {
  return "zone-" + std::string(1, static_cast<char>('a' + Zone));
}

Address Deployment::vm(std::size_t Zone, bool Control, uint16_t Port) const {
  return {Net + std::to_string(Zone + 1) + (Control ? ".16" : ".13"), Port};
}

Address Deployment::front(std::size_t Zone) const {
  return vm(Zone, false, FrontPort);
}

Address Deployment::control(std::size_t Zone) const {
  return vm(Zone, true, ControlPort);
}

Address Deployment::peer(std::size_t Zone, uint16_t Port) const {
  if (!RelayPeers)
    return vm(Zone, true, Port);
  return {Net + std::to_string(Zone + 1) + ".116", Port};
}

void Deployment::startRelays() {
  for (std::size_t Zone = 0; Zone < Zones; ++Zone)
    Relays.push_back(std::make_unique<Relay>(
        peer(Zone, PeerPort), vm(Zone, true, PeerPort),
        [this, Zone](const std::string &Greeting) {
          // A greeting holds the name of the VM that sends it.
          const int Cut = CutZone;
          if (Cut == NoZone)
            return true;
          const bool FromCutZone =
              Greeting.find(zoneName(static_cast<std::size_t>(Cut))) !=
              std::string::npos;
          return FromCutZone == (static_cast<int>(Zone) == Cut);
        }));
}

Address Deployment::spareAddress(uint8_t Number) const {
  return {Net + "200." + std::to_string(Number), FrontPort};
}

void Deployment::startVm(std::size_t Zone, bool Control, bool FirstStart) {
  const std::string Name = (Control ? "core-" : "edge-") + zoneName(Zone);
  json Seeds = json::array();
  for (std::size_t Other = 0; Other < Zones; ++Other)
    Seeds.push_back(text(peer(Other, ControlPort)));
  json Settings = {{"name", Name},
                   {"data_centre", zoneName(Zone)},
                   {"role", Control ? "control" : "entry"},
                   {"peer", text(vm(Zone, Control, PeerPort))},
                   {"seeds", Seeds},
                   {"seed_port", PeerPort},
                   {"metrics", text(vm(Zone, Control, 9464))},
                   {"first_start", FirstStart},
                   {"tolerated_losses", 1},
                   {"stop_limit_s", 6},
                   {"longest_lease_ms", 1000},
                   {"trusted_network", true}};
  if (Control) {
    Settings["control"] = text(control(Zone));
    if (RelayPeers)
      Settings["advertised_peer"] = text(peer(Zone, PeerPort));
    Settings["data_folder"] = Folder + "/" + Name;
    std::filesystem::create_directories(Folder + "/" + Name);
  } else {
    Settings["front"] = text(front(Zone));
    Settings["ready"] = text(vm(Zone, false, ReadyPort));
  }
  const std::string SettingsPath = Folder + "/" + Name + ".json";
  std::ofstream(SettingsPath) << Settings.dump(2);
  const std::vector<std::string> Command = runCommand();
  std::vector<char *> Arguments;
  for (const std::string &Word : Command)
    Arguments.push_back(const_cast<char *>(Word.c_str()));
  Arguments.push_back(nullptr);
  std::array<std::string, 4> Variables = {
      environmentEntry("PATH"), environmentEntry("HOME"),
      environmentEntry("LANG"), "SAPPHIREMOOR_BOOT=" + SettingsPath};
  std::array<char *, 5> Environment{};
  std::ranges::transform(Variables, Environment.begin(),
                         [](std::string &Entry) { return Entry.data(); });
  const std::string LogPath = Folder + "/" + Name + ".log";
  const int Pid = fork();
  if (Pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Log =
        open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(Log, STDOUT_FILENO);
    dup2(Log, STDERR_FILENO);
    execve(Arguments[0], Arguments.data(), Environment.data());
    _exit(127);
  }
  Processes[Name] = {Pid, false};
  Events.add(Name + " started");
}

bool Deployment::start(std::size_t WorkersPerZone, int64_t TimeoutMs) {
  for (std::size_t Zone = 0; Zone < Zones; ++Zone)
    startVm(Zone, true, true);
  for (std::size_t Zone = 0; Zone < Zones; ++Zone)
    startVm(Zone, false, true);
  for (std::size_t Zone = 0; Zone < Zones; ++Zone)
    for (std::size_t Number = 0; Number < WorkersPerZone; ++Number) {
      WorkerOptions Worker;
      Worker.Id = "w-" + zoneName(Zone).substr(5) + std::to_string(Number);
      Worker.Service = Service;
      Worker.Zone = zoneName(Zone);
      Worker.Where = {Net + std::to_string(100 + Zone) + "." +
                          std::to_string(10 + Number),
                      WorkerPort};
      Worker.Cpu = WorkerCpu;
      Worker.MemoryMb = WorkerMemoryMb;
      Worker.Labels = {Number % 4 == 3 ? "b" : "a",
                       "r" + std::to_string(Zone + 1) + "-1"};
      for (std::size_t Other = 0; Other < Zones; ++Other)
        Worker.Controls.push_back(control((Zone + Other) % Zones));
      Workers[Worker.Id] =
          std::make_unique<review::Worker>(Worker, Events, Runs);
    }
  return waitUntilReady(TimeoutMs);
}

bool Deployment::waitUntilReady(int64_t TimeoutMs) {
  const json Config = {{"version", 7},
                       {"routes",
                        {{{"name", "r-1"},
                          {"host", Host},
                          {"path_prefix", Prefix},
                          {"kind", "unsafe"},
                          {"timeout_ms", TimeoutMs},
                          {"slo_ms", 60},
                          {"priority", 0},
                          {"service", Service},
                          {"attempts", 4},
                          {"stretch", 1.6}}}},
                       {"services",
                        {{{"name", Service},
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
  const int64_t Deadline = nowMs() + 20000;
  int Status = 0;
  while (Status != 200 && nowMs() < Deadline) {
    sleepMs(200);
    Status = callHttp(control(0),
                      {"POST",
                       "/api/config/put",
                       {{"Host", control(0).Ip}},
                       Config.dump()},
                      1000)
                 .Status;
  }
  Events.add("first config answered " + std::to_string(Status));
  // The VMs acquire the workers within some seconds after their first report.
  sleepMs(6000);
  const json Probe = {
      {"spec", "30 probe"},
      {"best_effort", true},
      {"steps",
       {{{"count", 1}, {"cpu", 1000}, {"mem_mb", 64}, {"estimate_ms", 30}}}}};
  for (std::size_t Zone = 0; Zone < Zones; ++Zone) {
    int ProbeStatus = 0;
    for (uint64_t Try = 0; ProbeStatus != 200 && nowMs() < Deadline; ++Try) {
      ProbeStatus =
          submit(front(Zone), jobId(0xaa0000 + Zone * 0x100 + Try), Probe, 1500)
              .Status;
      if (ProbeStatus != 200)
        sleepMs(300);
    }
    if (ProbeStatus != 200)
      return false;
  }
  return Status == 200;
}

void Deployment::killControl(std::size_t Zone) {
  const std::string Name = "core-" + zoneName(Zone);
  Process &Vm = Processes.at(Name);
  kill(Vm.Pid, SIGKILL);
  waitpid(Vm.Pid, nullptr, 0);
  Vm.Killed = true;
  Events.add(Name + " killed");
}

void Deployment::cutZone(std::size_t Zone) {
  CutZone = static_cast<int>(Zone);
  for (const auto &[Id, Server] : Workers)
    Server->OwnerOnly = true;
  Events.add(zoneName(Zone) + " is cut off from the others");
}

void Deployment::healZone() {
  CutZone = NoZone;
  for (const auto &[Id, Server] : Workers)
    Server->OwnerOnly = false;
  Events.add("the cut ends");
}

bool Deployment::allRunning() const {
  return std::ranges::all_of(Processes, [](const auto &Entry) {
    return Entry.second.Killed ||
           waitpid(Entry.second.Pid, nullptr, WNOHANG) == 0;
  });
}

HttpAnswer Deployment::submit(const Address &Where, const std::string &Id,
                              const json &Job, int64_t DeadlineMs) {
  const HttpAnswer Answer =
      callHttp(Where,
               {"POST",
                Prefix + Id,
                {{"Host", Host}, {"X-Deadline-Ms", std::to_string(DeadlineMs)}},
                Job.dump()},
               DeadlineMs);
  Events.add(
      "job " + Id + " submitted at " + text(Where) + ": " +
      (Answer.Status == 0 ? "no answer" : std::to_string(Answer.Status)));
  return Answer;
}

std::string Deployment::state(const Address &Where, const std::string &Id) {
  const HttpAnswer Answer = callHttp(
      Where,
      {"GET", Prefix + Id, {{"Host", Host}, {"X-Deadline-Ms", "1500"}}, ""},
      1500);
  if (Answer.Status == 410)
    return "410";
  const json Body = json::parse(Answer.Body, nullptr, false);
  return Answer.Status == 200 && Body.is_object()
             ? Body.value("state", std::string())
             : std::string();
}

} // namespace review
