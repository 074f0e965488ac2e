#pragma once

#include <cstdint>

#include <flatbuffers/vector.h>

namespace heatherplank {

/** True if the elements of a vector of structs are aligned for their type. The
 * FlatBuffers verifier checks a vector's bounds, but not the alignment of its
 * elements: a damaged offset would cause misaligned reads, which are undefined
 * behaviour. Thread safe.
 */
template<typename T>
bool IsAligned(const flatbuffers::Vector<const T*>* aVector)
{
  return aVector == nullptr ||
         reinterpret_cast<std::uintptr_t>(aVector->Data()) % alignof(T) == 0;
}

/** As above, for a vector of scalars. */
template<typename T>
bool IsAligned(const flatbuffers::Vector<T>* aVector)
{
  return aVector == nullptr ||
         reinterpret_cast<std::uintptr_t>(aVector->Data()) % alignof(T) == 0;
}

} // namespace heatherplank
