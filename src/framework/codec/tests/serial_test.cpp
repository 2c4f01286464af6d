#include "framework/codec/serial.h"
#include "framework/core/types/vmid.h"

#include <doctest/doctest.h>

using namespace sapphiremoor;

TEST_CASE(
    "a value is decoded as encoded, and cut or extended bytes are refused") {
  const VmId Id{"a1", 42};
  const std::string Bytes = encode(Id);
  CHECK(valueOf(decode<VmId>(Bytes)) == Id);
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    CHECK(isError(decode<VmId>(std::string_view(Bytes).substr(0, Size))));
  CHECK(isError(decode<VmId>(Bytes + "x")));
}
