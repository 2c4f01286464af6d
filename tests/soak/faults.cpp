#include "tests/soak/faults.h"

#include <csignal>

#include <algorithm>
#include <iostream>

namespace sapphiremoor::soak {

namespace {

Duration randomTime(Soak &Of, int64_t LowMs, int64_t HighMs) {
  return std::chrono::milliseconds(
      LowMs +
      static_cast<int64_t>(Of.rng()() % static_cast<uint64_t>(HighMs - LowMs)));
}

void note(Soak &In, const std::string &What, const std::string &Where) {
  const auto Ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      In.loop().now().time_since_epoch());
  std::cout << Ms.count() << " " << What << " " << Where << std::endl;
}

void killAndRestart(Soak &In, Node &Of, bool Wipe) {
  const Duration Down = randomTime(In, 100, 2000);
  note(In, Wipe ? "wipe" : "kill", Of.Name);
  In.disturbed(Of, Down);
  Of.Daemon->kill();
  if (Wipe)
    In.wipe(Of);
  In.after(Down, [&In, &Of] {
    if (Of.Daemon->ended())
      In.launch(Of, false);
  });
}

void pause(Soak &In, Node &Of) {
  const Duration Time = randomTime(In, 300, 3000);
  note(In, "pause", Of.Name);
  In.disturbed(Of, Time);
  Of.Daemon->signal(SIGSTOP);
  In.after(Time, [&Of] { Of.Daemon->signal(SIGCONT); });
}

void stopAndRestart(Soak &In, Node &Of) {
  note(In, "stop", Of.Name);
  const Duration Longest = std::chrono::milliseconds(4500);
  In.disturbed(Of, Longest);
  Of.Daemon->signal(SIGTERM);
  In.after(Longest, [&In, &Of] {
    if (!Of.Daemon->ended())
      Of.Daemon->kill();
    In.launch(Of, false);
  });
}

void disturbLinks(Soak &In, Node &Of) {
  const std::vector<std::string> Modes{
      "cut",          "hold",         "freeze",  "swallow up",
      "swallow down", "swallow both", "delay 80"};
  const std::string &Mode = Modes[In.rng()() % Modes.size()];
  const Duration Time = randomTime(In, 500, 3500);
  note(In, Mode, Of.Name);
  // The links of a VM end at others too.
  for (Node &Each : In.nodes())
    In.disturbed(Each, Time);
  Of.Link->setMode(*relay::parseMode(Mode));
  In.after(Time, [&Of] { Of.Link->setMode({}); });
}

void disturbBackend(Soak &In) {
  const std::size_t Number = In.rng()() % In.backends().size();
  StandinControlled &Of = *In.backends()[Number];
  Disturbance How;
  switch (In.rng()() % 5) {
  case 0:
    note(In, "crash", "b" + std::to_string(Number));
    Of.crash(randomTime(In, 50, 2000));
    return;
  case 1:
    How.Silent = true;
    break;
  case 2:
    How.LateShare = 0.15;
    break;
  case 3:
    How.FailShare = 1;
    break;
  default:
    How.Slowness = 30;
    break;
  }
  note(In, "disturb", "b" + std::to_string(Number));
  Of.disturb(How);
  In.after(randomTime(In, 500, 4000), [&Of] { Of.disturb({}); });
}

bool calm(Soak &In) {
  const Instant Now = In.loop().now();
  return std::ranges::all_of(In.nodes(), [Now](const Node &Each) {
    return !Each.Control || Each.CalmFrom < Now;
  });
}

} // namespace

void injectFault(Soak &Into) {
  Node &Of = Into.nodes()[Into.rng()() % Into.nodes().size()];
  switch (Into.rng()() % 10) {
  case 0:
  case 1:
    killAndRestart(Into, Of, false);
    return;
  case 2:
    // Only one disk may be lost at a time.
    killAndRestart(Into, Of, Of.Control && calm(Into));
    return;
  case 3:
  case 4:
    pause(Into, Of);
    return;
  case 5:
    stopAndRestart(Into, Of);
    return;
  case 6:
  case 7:
    disturbLinks(Into, Of);
    return;
  default:
    disturbBackend(Into);
    return;
  }
}

void healAll(Soak &Into) {
  for (Node &Each : Into.nodes()) {
    Each.Link->setMode({});
    Each.Daemon->signal(SIGCONT);
    if (Each.Daemon->ended())
      Into.launch(Each, false);
  }
  for (const auto &Each : Into.backends())
    Each->disturb({});
}

} // namespace sapphiremoor::soak
