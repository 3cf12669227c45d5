#ifndef EBONY_CONFIGWIRE_GENERATEDPEER_H
#define EBONY_CONFIGWIRE_GENERATEDPEER_H

// Suppresses lint warnings about the generated code.
#pragma GCC system_header

#include "generated/ConfigPeer.h"

#endif
