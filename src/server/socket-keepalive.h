/* Lets the kernel find out that the other side of a connection has ended without a packet. */
#pragma once

/**
 * mh_socket_enable_keepalive:
 * @descriptor: a TCP socket
 *
 * Enables keepalive probes. The connection fails after about a minute in which the other side does
 * not answer them, or does not acknowledge data. An option that the system refuses is logged.
 */
void
mh_socket_enable_keepalive (int descriptor);
