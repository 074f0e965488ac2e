#pragma once

#include <cstdint>
#include <memory>
#include <span>

#include "src/decide/ClassState.h"

namespace heatherplank {

using ClassStates = std::span<const std::unique_ptr<ClassState>>;

/** Says which class may take a free slot.
 *
 * Load it answers: long work among short, on hosts of two slots. Work in a slot
 * is not cut, so a slot lent is back only at the end of the request. Without a
 * limit, two long downloads hold both slots and a claim waits for the shorter
 * of them, past its deadline. So a slot that is reserved for a class is lent
 * only to work of which nineteen of twenty end within half of the time that
 * the owner can spare (its deadline less its own work): the other half is for
 * the queue in front of it. Classes have a slot limit besides, which holds
 * always. Reservation and limit are the resource controls of Peloton's user
 * guide, "Resource Pool"; it takes lent resources back by preemption, which
 * here would run a claim twice, hence the look at the length beforehand.
 *
 * Pure; thread safe while the states don't change.
 */
bool MayTakeSlot(ClassStates aClasses, std::size_t aClass,
                 std::uint32_t aFreeSlots);

/** Slots that a class can ever hold now: all, less its limit and less what is
 * reserved for others and can't be lent to it. At least 0. */
std::uint32_t SlotsFor(ClassStates aClasses, std::size_t aClass,
                       std::uint32_t aSlots);

} // namespace heatherplank
