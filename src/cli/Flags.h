#pragma once

#include <gflags/gflags_declare.h>

// Flags that several commands share; Flags.cpp defines them.
DECLARE_string(platform);
DECLARE_string(author);
DECLARE_bool(yes);
DECLARE_bool(json);
DECLARE_int64(if_version);
DECLARE_bool(undo);
DECLARE_int64(at_version);
DECLARE_string(svg);
