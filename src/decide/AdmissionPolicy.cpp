#include "src/decide/AdmissionPolicy.h"

#include <string>

#include "src/decide/BaselineAdmission.h"
#include "src/decide/ReservationAdmission.h"

namespace heatherplank {

Result<std::unique_ptr<AdmissionPolicy>> MakeAdmissionPolicy(
  std::string_view aName, const AdmissionOptions& aOptions)
{
  if (aOptions.mSlots == 0 || aOptions.mClasses.empty()) {
    return Fail(
      ErrorKind::InvalidInput, "admission policy has no slots or no classes",
      "set the number of slots to at least 1 and add at least one class");
  }
  if (aName == "reservation") {
    return std::make_unique<ReservationAdmission>(aOptions);
  }
  if (aName == "fifo" || aName == "priority") {
    return std::make_unique<BaselineAdmission>(aOptions, aName == "priority");
  }
  return Fail(ErrorKind::InvalidInput,
              "unknown admission policy \"" + std::string(aName) + "\"",
              "use \"reservation\", \"priority\" or \"fifo\"");
}

} // namespace heatherplank
