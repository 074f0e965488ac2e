#pragma once

#include <cstdint>
#include <memory>
#include <span>

#include "src/decide/ClassState.h"

namespace heatherplank {

using ClassStates = std::span<const std::unique_ptr<ClassState>>;

/** True if the class may take a free slot.
 *
 * Guards against: long work mixed with short work on hosts of two slots.
 * Running work is not interrupted, so a lent slot is returned only at the end
 * of the request. Without a limit, two long downloads hold both slots, and a
 * claim waits for the shorter one past its deadline. So a slot that is reserved
 * for a class is lent only to work of which 19 of 20 requests end within half
 * of the slack of the slot's owner (its deadline less its own service time);
 * the other half is for the queue ahead of it. In addition, the slot limit of a
 * class always applies. Reservation and limit are the resource controls of
 * Peloton's user guide, "Resource Pool". Peloton takes back lent resources by
 * preemption, which would run a claim twice here; hence the check of the length
 * before lending.
 *
 * No I/O or clock access; thread safe while the states don't change.
 */
bool MayTakeSlot(ClassStates aClasses, std::size_t aClass,
                 std::uint32_t aFreeSlots);

/** The maximum number of slots that a class can hold now: all slots, less those
 * reserved for other classes that can't be lent to it, bounded by its slot
 * limit. At least 0. */
std::uint32_t MaxSlotsFor(ClassStates aClasses, std::size_t aClass,
                          std::uint32_t aSlots);

} // namespace heatherplank
