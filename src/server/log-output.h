/* Writes log messages to standard error, one line each, filtered by the environment variable
   LOG_LEVEL. */
#pragma once

#include <glib.h>

/**
 * MH_LOG_FIELD_NODE:
 *
 * Field of GLib's structured logging that holds the node_name of the controller that logs.
 */
#define MH_LOG_FIELD_NODE "MINTHILL_NODE"

/**
 * mh_log_output_install:
 *
 * Reads LOG_LEVEL (error, info or debug; each includes those before it; any other value, or none,
 * means error) and makes standard error the destination of all messages of the process, in the form
 * "LEVEL: MESSAGE". Debug messages of other domains than "minthill" are dropped. To be called once,
 * before other threads exist.
 */
void
mh_log_output_install (void);

/**
 * mh_log_output_write:
 * @level: level of the message
 * @node: name of the controller
 * @message: the text, without a newline at the end
 *
 * Passes a message of the controller to GLib's structured logging, with @message as the field
 * MESSAGE and @node as #MH_LOG_FIELD_NODE.
 */
void
mh_log_output_write (GLogLevelFlags level, const char *node, const char *message);
