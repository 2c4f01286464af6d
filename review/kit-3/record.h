#ifndef REVIEW_KIT3_RECORD_H
#define REVIEW_KIT3_RECORD_H

// What clients sent and got, and what workers ran, in memory for the check and
// in record.txt for the reader.

#include "http.h"

#include <cstdarg>
#include <cstdio>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/// One start that a worker has begun, and its end.
struct RunRecord {
  std::string Task;
  uint64_t Run = 0;
  std::string Worker;
  uint64_t Life = 0;
  double StartedAt = 0;
  /// Negative while the run goes on.
  double EndedAt = -1;
  std::string How;
  uint64_t EndNumber = 0;
  /// First time at which the end was in a list, and time at which ack_cursor
  /// reached it; negative if never.
  double ListedAt = -1;
  double AckedAt = -1;
  /// First time after the end, and before ack_cursor reached it, at which the
  /// lease of the worker lapsed; negative if never.
  double LapsedAt = -1;

  std::string job() const { return Task.substr(0, 16); }
};

class Record {
public:
  explicit Record(const std::string &Path)
      : File(fopen(Path.c_str(), "w")), Start(Clock::now()) {}
  ~Record() { fclose(File); }
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;

  double now() const {
    return std::chrono::duration<double>(Clock::now() - Start).count();
  }

  void line(const char *Format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard Lock(FileMutex);
    fprintf(File, "%8.3f ", now());
    va_list Arguments;
    va_start(Arguments, Format);
    vfprintf(File, Format, Arguments);
    va_end(Arguments);
    fputc('\n', File);
    fflush(File);
  }

  /// As line(), and also on standard output.
  void say(const std::string &Text) {
    line("%s", Text.c_str());
    printf("%8.3f %s\n", now(), Text.c_str());
    fflush(stdout);
  }

  std::mutex Mutex;
  /// Guarded by Mutex.
  std::vector<RunRecord> Runs;

private:
  FILE *File;
  Clock::time_point Start;
  std::mutex FileMutex;
};

} // namespace review

#endif // REVIEW_KIT3_RECORD_H
