/* A TCP proxy for one directed link between two processes, in threads of its own, so that the link
   can be cut and healed while both run. */
#pragma once

#include <gio/gio.h>
#include <stdbool.h>

/**
 * LinkState:
 * @LINK_OPEN: bytes pass
 * @LINK_REFUSED: connections are reset, new ones too
 * @LINK_HELD: bytes are held in both directions, and delivered once the link is open
 * @LINK_ANSWERS_HELD: bytes towards the one who connected are held; requests arrive
 *
 * What a link does with its bytes.
 */
typedef enum
{
  LINK_OPEN,
  LINK_REFUSED,
  LINK_HELD,
  LINK_ANSWERS_HELD
} LinkState;

/** LinkProxy: one link */
typedef struct LinkProxy LinkProxy;

/**
 * link_proxy_new:
 * @target_port: on loopback
 *
 * Returns: (transfer full): an open link to @target_port, which runs until the process ends
 */
LinkProxy *
link_proxy_new (guint target_port);
/** link_proxy_get_port: Returns: the port that the link listens on */
guint
link_proxy_get_port (const LinkProxy *link);
/** link_proxy_set_state: Takes effect within some milliseconds. */
void
link_proxy_set_state (LinkProxy *link, LinkState state);
