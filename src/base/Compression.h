#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/Error.h"

namespace heatherplank {

/** Compresses a text with Zstandard, at a level that favours speed: the text of
 * 1,000 routes shrinks to less than a tenth. Thread safe. */
std::vector<std::uint8_t> Compress(std::string_view aText);

/** Decompresses the output of Compress. Malformed if the bytes are damaged or
 * truncated; TooLarge if the text exceeds aMaxSize bytes, which is detected
 * before memory is allocated for it. Thread safe. */
Result<std::string> Decompress(std::span<const std::uint8_t> aCompressed,
                               std::size_t aMaxSize);

} // namespace heatherplank
