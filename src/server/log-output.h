/* Where log lines go: standard error, one line each, filtered by the environment's LOG_LEVEL. */
#pragma once

#include <glib.h>

/**
 * MH_LOG_FIELD_NODE:
 *
 * Field of GLib's structured logging that names the controller which logs (the settings'
 * node_name).
 */
#define MH_LOG_FIELD_NODE "MINTHILL_NODE"

/**
 * mh_log_output_install:
 *
 * Reads LOG_LEVEL (error, info or debug; each includes those before it; error when it is not set)
 * and makes standard error the destination of all messages of the process: "LEVEL: MESSAGE".
 * Messages of other domains than "minthill" are left out at debug level. To be called once, before
 * other threads exist.
 */
void
mh_log_output_install (void);

/**
 * mh_log_output_write:
 * @level: level of the message
 * @node: name of the controller
 * @message: the line, without an end of line
 *
 * Hands a line of the controller to GLib's structured logging, with @message as MESSAGE and @node
 * as #MH_LOG_FIELD_NODE.
 */
void
mh_log_output_write (GLogLevelFlags level, const char *node, const char *message);
