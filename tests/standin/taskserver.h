#ifndef SAPPHIREMOOR_TESTS_STANDIN_TASKSERVER_H
#define SAPPHIREMOOR_TESTS_STANDIN_TASKSERVER_H

#include "handles.h"
#include "options.h"
#include "startcounter.h"

#include <cstdint>
#include <functional>
#include <list>
#include <string>

namespace sapphiremoor::standin {

/// Runs tasks that arrive over HTTP. POST /run/SERVICE with the header X-Task
/// starts a task; GET /starts returns the start counts.
class TaskServer {
public:
  TaskServer(event_base *Base, const Options &Settings, StartCounter &Starts);

  /// Starts to listen. Returns the port, or 0 if the address cannot be used.
  uint16_t listen();

  /// Refuses new tasks from now on. Running tasks are finished.
  void refuseNewTasks() { RefusesNewTasks = true; }

  unsigned runningCount() const { return static_cast<unsigned>(Tasks.size()); }

  /// Returns true if no task is left that will be answered. In the mode Silent
  /// this is always true.
  bool isIdle() const;

  /// Called after each finished task.
  std::function<void()> OnTaskFinished;

  /// Called once in the mode Leaving, when LeaveAfterTasks tasks have started.
  std::function<void()> OnLeave;

private:
  struct Task {
    TaskServer *Server = nullptr;
    evhttp_request *Request = nullptr; ///< null once disconnected
    std::string Answer;
    EventHandle Timer;
    std::list<Task>::iterator It;
  };

  static void onRequest(evhttp_request *Request, void *Self);
  static void onTimer(evutil_socket_t, short, void *Context);
  static void onClosed(evhttp_connection *, void *Context);

  void handleTaskRequest(evhttp_request *Request, const std::string &Service);
  void startTask(evhttp_request *Request, const std::string &Service);
  void finishTask(Task &EndedTask);
  bool isFull() const;
  bool hasService(const std::string &Service) const;
  std::string makeAnswer(evhttp_request *Request,
                         const std::string &Service) const;

  event_base *Base;
  const Options &Settings;
  StartCounter &Starts;
  bool RefusesNewTasks = false;
  // Declared before Http, and so destroyed after it: closing a connection calls
  // back with its task.
  std::list<Task> Tasks;
  HttpHandle Http;
};

} // namespace sapphiremoor::standin

#endif // SAPPHIREMOOR_TESTS_STANDIN_TASKSERVER_H
