#include "cluster/stopsequence.h"

#include "framework/eventlog/eventlog.h"

#include <algorithm>
#include <csignal>

namespace sapphiremoor {

namespace {

constexpr Duration CheckPeriod = std::chrono::milliseconds(50);

/// Load balancers notice a stop after two failed readiness checks, one second
/// apart.
constexpr Duration BalancerNoticeTime = std::chrono::milliseconds(2500);

/// Time that is reserved before the limit for the last answers.
constexpr Duration ExitMargin = std::chrono::milliseconds(300);

/// Number of consecutive checks without open work before the loop ends, so that
/// written answers have been sent.
constexpr int IdleChecksNeeded = 4;

} // namespace

StopSequence::StopSequence(EventLoop &Loop, Duration Limit, Steps StopSteps)
    : Loop(Loop), Limit(Limit), StopSteps(std::move(StopSteps)),
      CheckTimer(Loop, [this] { check(); }) {
  Loop.onSignal(SIGTERM, [this] { begin(); });
  Loop.onSignal(SIGINT, [this] { begin(); });
}

void StopSequence::begin() {
  if (Stopping)
    return;
  Stopping = true;
  StopRequestedAt = Loop.now();
  logEvent(events::Stopping);
  StopSteps.AnnounceLeaving();
  CheckTimer.startPeriodic(CheckPeriod);
}

void StopSequence::check() {
  const Duration Elapsed = Loop.now() - StopRequestedAt;
  const Duration NoticePeriod = std::min(BalancerNoticeTime, Limit / 2);
  if (Elapsed < NoticePeriod)
    return;
  StopSteps.CloseConnections();
  IdleChecks = StopSteps.IsIdle() ? IdleChecks + 1 : 0;
  if (IdleChecks >= IdleChecksNeeded || Elapsed > Limit - ExitMargin)
    Loop.stop();
}

} // namespace sapphiremoor
