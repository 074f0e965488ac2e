#include "src/base/Compression.h"

#include <zstd.h>

namespace heatherplank {

namespace {

constexpr int kFast = 1;

} // namespace

std::vector<std::uint8_t> Compress(std::string_view aText)
{
  std::vector<std::uint8_t> out(ZSTD_compressBound(aText.size()));
  std::size_t n =
    ZSTD_compress(out.data(), out.size(), aText.data(), aText.size(), kFast);
  // The bound leaves room for any text, so packing can't fail.
  out.resize(ZSTD_isError(n) != 0 ? 0 : n);
  return out;
}

Result<std::string> Decompress(std::span<const std::uint8_t> aPacked,
                               std::size_t aMost)
{
  auto size = ZSTD_getFrameContentSize(aPacked.data(), aPacked.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
    return Fail(ErrorKind::Malformed, "packed text without a size",
                "look at the sender's version");
  }
  if (size > aMost) {
    return Fail(ErrorKind::TooLarge,
                "packed text of " + std::to_string(size) + " bytes",
                "send " + std::to_string(aMost) + " bytes at most");
  }
  std::string out(size, '\0');
  std::size_t n =
    ZSTD_decompress(out.data(), out.size(), aPacked.data(), aPacked.size());
  if (ZSTD_isError(n) != 0 || n != size) {
    return Fail(ErrorKind::Malformed, "packed text that is damaged",
                "send it again");
  }
  return out;
}

} // namespace heatherplank
