#ifndef SAPPHIREMOOR_TESTS_STANDIN_ANNOUNCER_H
#define SAPPHIREMOOR_TESTS_STANDIN_ANNOUNCER_H

#include "handles.h"
#include "options.h"

#include <cstddef>
#include <functional>
#include <string>

namespace sapphiremoor::standin {

/// Announces the stand-in to an entry VM periodically. Each answer says when to
/// announce next, and may name another VM to announce to.
class Announcer {
public:
  /// \p RunningCount returns the number of tasks in progress.
  Announcer(event_base *Base, const Options &Settings,
            std::function<unsigned()> RunningCount);

  /// Sends the first announcement. \p ListeningPort is the port that the
  /// stand-in listens on.
  void start(uint16_t ListeningPort);

  /// Sends DELETE instead of further announcements: to the current target, then
  /// to each configured VM once. Calls \p OnDone when a VM has accepted it or
  /// all of them have failed.
  void leave(std::function<void()> OnDone);

  /// Returns the endpoint that gets the next announcement.
  const Endpoint &target() const { return Target; }

private:
  static void onTimer(evutil_socket_t, short, void *Self);
  static void onAnswer(evhttp_request *Request, void *Self);

  void send();
  void handleAnnounceAnswer(evhttp_request *Request);
  void handleDeleteAnswer(int StatusCode);
  void scheduleSend(std::chrono::milliseconds Delay);
  void rotateTarget();
  std::string announcementBody() const;

  event_base *Base;
  const Options &Settings;
  std::function<unsigned()> RunningCount;
  uint16_t Port = 0;
  Endpoint Target;
  std::size_t NextTargetIndex = 0;
  bool IsLeaving = false;
  bool HasLeft = false;
  std::size_t FailedDeletes = 0;
  std::function<void()> OnLeaveDone;
  EventHandle Timer;
  ConnectionHandle Connection;
};

} // namespace sapphiremoor::standin

#endif // SAPPHIREMOOR_TESTS_STANDIN_ANNOUNCER_H
