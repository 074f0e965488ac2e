#include "src/cli/Flags.h"

#include <gflags/gflags.h>

DEFINE_string(platform, "127.0.0.1:8500",
              "IP:port of the platform's object API (apply, get, policy, "
              "drain, status, report)");
DEFINE_string(
  author, "",
  "author recorded with the change; the user's name if empty (apply, policy, "
  "drain)");
DEFINE_bool(yes, false, "do not prompt before a change (apply, policy, drain)");
DEFINE_bool(json, false,
            "print one JSON object instead of text (check, apply, get, policy, "
            "drain, status, report)");
DEFINE_int64(if_version, -1,
             "accept the change only if this version is in force; 0: only if "
             "none is (apply, policy, drain)");
DEFINE_bool(undo, false, "end the drain of the host (drain)");
DEFINE_int64(at_version, 0,
             "show this older version instead of the newest (get)");
DEFINE_string(svg, "", "also draw the report into this SVG file (report)");
