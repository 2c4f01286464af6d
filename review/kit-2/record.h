#ifndef REVIEW_KIT2_RECORD_H
#define REVIEW_KIT2_RECORD_H

#include "net.h"

#include <cstdio>

namespace kit {

/// Writes what was sent, answered and run to record.txt, with milliseconds
/// since the start.
class Record {
public:
  explicit Record(const std::string &Path)
      : File(fopen(Path.c_str(), "w")), Start(nowMs()) {}

  void line(const std::string &Text) {
    const std::lock_guard Lock(Mutex);
    fprintf(File, "%7lld %s\n", static_cast<long long>(nowMs() - Start),
            Text.c_str());
    fflush(File);
  }

  /// Also shown on standard output.
  void say(const std::string &Text) {
    line(Text);
    printf("%s\n", Text.c_str());
    fflush(stdout);
  }

private:
  std::mutex Mutex;
  FILE *File;
  int64_t Start;
};

} // namespace kit

#endif
