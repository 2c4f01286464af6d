#include "gateway/tokentable.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace sapphiremoor;

namespace {

/// A temporary folder that is removed at the end of a test.
struct TokenFolder {
  // Tests run in parallel in the same working folder, so each needs its own.
  TokenFolder() {
    char Template[] = "/tmp/tokentable-XXXXXX";
    Path = mkdtemp(Template);
  }
  ~TokenFolder() { std::filesystem::remove_all(Path); }
  void add(const std::string &Name, const std::string &Token) const {
    const std::string File = Path + "/" + Name;
    std::ofstream(File) << Token << "\n";
    std::filesystem::permissions(File, std::filesystem::perms::owner_read |
                                           std::filesystem::perms::owner_write);
  }
  std::string Path;
};

} // namespace

TEST_CASE("a token authenticates only its owner's role and name") {
  const TokenFolder Folder;
  Folder.add("team-counter.token", "aaaaaaaaaaaaaaaa");
  Folder.add("operator-eva.token", "bbbbbbbbbbbbbbbb");
  const auto Table = loadTokens(Folder.Path);
  REQUIRE_FALSE(isError(Table));
  const auto Team =
      authenticate(valueOf(Table), "aaaaaaaaaaaaaaaa", Role::Caller);
  CHECK(valueOf(Team).Name == "counter");
  CHECK(
      errorOf(authenticate(valueOf(Table), "aaaaaaaaaaaaaaaa", Role::Operator))
          .Kind == ErrorKind::Forbidden);
  CHECK(errorOf(authenticate(valueOf(Table), "wrong", Role::Caller)).Kind ==
        ErrorKind::Unauthorized);
  CHECK(errorOf(authenticate(valueOf(Table), "", Role::Caller)).Kind ==
        ErrorKind::Unauthorized);
}

TEST_CASE("loading rejects a token with two owners or without a role") {
  const TokenFolder Folder;
  Folder.add("team-a.token", "aaaaaaaaaaaaaaaa");
  Folder.add("team-b.token", "aaaaaaaaaaaaaaaa");
  CHECK(errorOf(loadTokens(Folder.Path)).Kind == ErrorKind::Contradiction);
  std::filesystem::remove(Folder.Path + "/team-b.token");
  Folder.add("someone.token", "cccccccccccccccc");
  CHECK(errorOf(loadTokens(Folder.Path)).Kind == ErrorKind::BadRequest);
  CHECK(errorOf(loadTokens("no_such_folder")).Kind == ErrorKind::NotFound);
}
