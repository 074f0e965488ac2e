#include "src/base/Compression.h"

#include <zstd.h>

namespace heatherplank {

namespace {

constexpr int kFastLevel = 1;

} // namespace

std::vector<std::uint8_t> Compress(std::string_view aText)
{
  std::vector<std::uint8_t> out(ZSTD_compressBound(aText.size()));
  std::size_t n = ZSTD_compress(out.data(), out.size(), aText.data(),
                                aText.size(), kFastLevel);
  // ZSTD_compressBound leaves room for any text, so compression can't fail.
  out.resize(ZSTD_isError(n) != 0 ? 0 : n);
  return out;
}

Result<std::string> Decompress(std::span<const std::uint8_t> aCompressed,
                               std::size_t aMaxSize)
{
  auto size = ZSTD_getFrameContentSize(aCompressed.data(), aCompressed.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
    return Fail(ErrorKind::Malformed, "compressed text without a size",
                "check the sender's version");
  }
  if (size > aMaxSize) {
    return Fail(ErrorKind::TooLarge,
                "compressed text of " + std::to_string(size) + " bytes",
                "send " + std::to_string(aMaxSize) + " bytes at most");
  }
  std::string out(size, '\0');
  std::size_t n = ZSTD_decompress(out.data(), out.size(), aCompressed.data(),
                                  aCompressed.size());
  if (ZSTD_isError(n) != 0 || n != size) {
    return Fail(ErrorKind::Malformed, "damaged compressed text",
                "send it again");
  }
  return out;
}

} // namespace heatherplank
