#ifndef SAPPHIREMOOR_TESTS_STANDIN_ANNOUNCER_H
#define SAPPHIREMOOR_TESTS_STANDIN_ANNOUNCER_H

#include "handles.h"
#include "options.h"

#include <cstddef>
#include <functional>
#include <string>

namespace sapphiremoor::standin {

/// Announces the stand-in to an entry VM, again and again, and follows the
/// answers: when to announce next, and to whom.
class Announcer {
public:
  /// \p RunningCount tells the number of tasks in progress.
  Announcer(event_base *Base, const Options &Settings,
            std::function<unsigned()> RunningCount);

  /// Sends the first announcement. \p Port is the one that is listened on.
  void start(uint16_t ListeningPort);

  /// Sends DELETE instead of further announcements, to each known VM at most
  /// once until one takes it, and calls \p OnDone then.
  void leave(std::function<void()> OnDone);

  /// Returns where the next announcement goes.
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
