/* The HTTP server for users and workers. A turn of a main context looks at all its connections,
   ready or not, which with a thousand open ones once took most of a small share of a core. Here
   they are dealt out to small contexts of their own, and the main one turns only those where
   something is ready. */
#pragma once

#include <libsoup/soup.h>
#include <stdbool.h>

typedef struct MhFront MhFront;
typedef struct MhFrontGroup MhFrontGroup;

/* Listens; `server` carries the handlers. */
MhFront *
mh_front_new (SoupServer *server, GSocketAddress *address, guint connections, GError **error);
/* So many of the allowed connections are open that those of workers should not be kept between two
   reports: there may be more workers than connections. */
bool
mh_front_crowded (const MhFront *front);
/* The group whose request is being handled. */
MhFrontGroup *
mh_front_current (const MhFront *front);
/* Something was done to a message of the group from outside of its own turn. */
void
mh_front_wake (MhFrontGroup *group);
