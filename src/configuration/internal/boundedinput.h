#ifndef SAPPHIREMOOR_CONFIGURATION_INTERNAL_BOUNDEDINPUT_H
#define SAPPHIREMOOR_CONFIGURATION_INTERNAL_BOUNDEDINPUT_H

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace sapphiremoor {

/// A cereal input archive for untrusted bytes. It reads the format that
/// cereal's portable binary archive writes on a little-endian host. Unlike
/// cereal's own archive it never allocates memory for an element count that
/// exceeds the number of remaining bytes or \c MaxCount. After a fault all
/// values read are zero.
class BoundedInput
    : public cereal::InputArchive<BoundedInput,
                                  cereal::AllowEmptyClassElision> {
public:
  BoundedInput(std::string_view Bytes, uint64_t MaxCount)
      : cereal::InputArchive<BoundedInput, cereal::AllowEmptyClassElision>(
            this),
        Remaining(Bytes), MaxCount(MaxCount) {
    uint8_t IsLittleEndian = 0;
    loadBytes(&IsLittleEndian, sizeof(IsLittleEndian));
    IsFaulty = IsFaulty || IsLittleEndian != 1;
  }

  /// Returns true if all bytes were read without a fault.
  bool isComplete() const { return !IsFaulty && Remaining.empty(); }

  void loadBytes(void *Target, std::size_t Count) {
    IsFaulty = IsFaulty || Count > Remaining.size();
    if (IsFaulty) {
      std::memset(Target, 0, Count);
      return;
    }
    std::memcpy(Target, Remaining.data(), Count);
    Remaining.remove_prefix(Count);
  }

  /// Returns \p Count. If it exceeds MaxCount or the number of remaining bytes,
  /// records a fault and returns 0.
  uint64_t checkCount(uint64_t Count) {
    IsFaulty =
        IsFaulty || Count > std::min<uint64_t>(MaxCount, Remaining.size());
    return IsFaulty ? 0 : Count;
  }

private:
  std::string_view Remaining;
  uint64_t MaxCount;
  bool IsFaulty = false;
};

// cereal requires the names of the following functions.

template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>>
CEREAL_LOAD_FUNCTION_NAME(BoundedInput &Ar, T &Value) {
  Ar.loadBytes(&Value, sizeof(Value));
}

/// Reads a byte and converts it, because a bool must not hold values other than
/// 0 and 1.
inline void CEREAL_LOAD_FUNCTION_NAME(BoundedInput &Ar, bool &Value) {
  uint8_t Byte = 0;
  Ar.loadBytes(&Byte, sizeof(Byte));
  Value = Byte != 0;
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInput &Ar,
                                    cereal::NameValuePair<T> &Pair) {
  Ar(Pair.value);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInput &Ar,
                                    cereal::SizeTag<T> &Size) {
  uint64_t Count = 0;
  Ar(Count);
  Size.size = Ar.checkCount(Count);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInput &Ar, cereal::BinaryData<T> &Data) {
  Ar.loadBytes(Data.data, static_cast<std::size_t>(Data.size));
}

} // namespace sapphiremoor

/// Declares to cereal that BoundedInput reads the output of
/// PortableBinaryOutputArchive.
template <>
struct cereal::traits::detail::get_output_from_input<
    sapphiremoor::BoundedInput> {
  using type = cereal::PortableBinaryOutputArchive;
};

#endif // SAPPHIREMOOR_CONFIGURATION_INTERNAL_BOUNDEDINPUT_H
