#include "framework/core/crashreport.h"

#include <execinfo.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdint>
#include <cstring>

namespace sapphiremoor {

namespace {

constexpr std::array FatalSignals{SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};
constexpr int MaxFrames = 64;

/// The handler has a stack of its own, because the cause may be an overflow of
/// the normal one.
constexpr std::size_t HandlerStackBytes = std::size_t{64} << 10;
alignas(16) std::array<char, HandlerStackBytes> HandlerStack;

/// Writes text without memory allocation, which is not allowed in a signal
/// handler.
void writeText(const char *Text) {
  // There is nothing to do if standard error cannot be written.
  [[maybe_unused]] const ssize_t WrittenBytes =
      write(STDERR_FILENO, Text, std::strlen(Text));
}

void writeNumber(uintptr_t Number, unsigned Base) {
  std::array<char, 32> Digits{};
  std::size_t Position = Digits.size() - 1;
  do {
    Digits[--Position] = "0123456789abcdef"[Number % Base];
    Number /= Base;
  } while (Number != 0 && Position > 0);
  writeText(&Digits[Position]);
}

void reportCrash(int SignalNumber, siginfo_t *Info, void *) {
  writeText("fatal signal ");
  writeNumber(static_cast<uintptr_t>(SignalNumber), 10);
  writeText(" at address 0x");
  writeNumber(reinterpret_cast<uintptr_t>(Info->si_addr), 16);
  writeText(", backtrace:\n");
  std::array<void *, MaxFrames> Frames{};
  const int FrameCount = backtrace(Frames.data(), MaxFrames);
  backtrace_symbols_fd(Frames.data(), FrameCount, STDERR_FILENO);
  // SA_RESETHAND has restored the default action, which ends the process.
  raise(SignalNumber);
}

} // namespace

void installCrashReport() {
  // The first call loads a library, which a signal handler must not do.
  void *Frame = nullptr;
  backtrace(&Frame, 1);

  stack_t Stack{};
  Stack.ss_sp = HandlerStack.data();
  Stack.ss_size = HandlerStack.size();
  sigaltstack(&Stack, nullptr);

  struct sigaction Action {};
  Action.sa_sigaction = reportCrash;
  Action.sa_flags = static_cast<int>(SA_SIGINFO | SA_ONSTACK | SA_RESETHAND);
  sigemptyset(&Action.sa_mask);
  std::ranges::for_each(FatalSignals, [&Action](int SignalNumber) {
    sigaction(SignalNumber, &Action, nullptr);
  });
}

} // namespace sapphiremoor
