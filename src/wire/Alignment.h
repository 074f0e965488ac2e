#pragma once

#include <cstdint>

#include <flatbuffers/vector.h>

namespace heatherplank {

/** True if a vector of structs stands where its type may be read. The verifier
 * checks a vector's length and place, but not the alignment of what is in it: a
 * damaged offset would have us read misaligned integers, which is undefined.
 * Thread safe.
 */
template<typename T>
bool IsAligned(const flatbuffers::Vector<const T*>* aVector)
{
  return aVector == nullptr ||
         reinterpret_cast<std::uintptr_t>(aVector->Data()) % alignof(T) == 0;
}

/** The same for a vector of scalars. */
template<typename T>
bool IsAligned(const flatbuffers::Vector<T>* aVector)
{
  return aVector == nullptr ||
         reinterpret_cast<std::uintptr_t>(aVector->Data()) % alignof(T) == 0;
}

} // namespace heatherplank
