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
  /// \p Running tells the number of tasks in progress.
  Announcer(event_base *Base, const Options &Settings,
            std::function<unsigned()> Running);

  /// Sends the first announcement. \p Port is the one that is listened on.
  void start(uint16_t Port);

  /// Sends DELETE instead of further announcements, to each known VM at most
  /// once until one takes it, and calls \p Done then.
  void leave(std::function<void()> Done);

  /// Returns where the next announcement goes.
  const Endpoint &target() const { return Target; }

private:
  static void onTimer(evutil_socket_t, short, void *Self);
  static void onAnswer(evhttp_request *Request, void *Self);

  void send();
  void announced(evhttp_request *Request);
  void deleted(int Code);
  void scheduleIn(std::chrono::milliseconds Pause);
  void rotateTarget();
  std::string body() const;

  event_base *Base;
  const Options &Settings;
  std::function<unsigned()> Running;
  uint16_t Port = 0;
  Endpoint Target;
  std::size_t NextInList = 0;
  bool Leaving = false;
  bool Left = false;
  std::size_t DeletesFailed = 0;
  std::function<void()> OnLeft;
  EventHandle Timer;
  LinkHandle Link;
};

} // namespace sapphiremoor::standin

#endif // SAPPHIREMOOR_TESTS_STANDIN_ANNOUNCER_H
