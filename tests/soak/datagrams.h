/*
** datagrams.h - how the soak steers datagrams between gateways
**
** datagrams.c is loaded into each gateway before its program and stands in
** front of sendmsg and of the steady clock. What becomes of a datagram is
*read from a file that the
** soak writes, by the sender's and the receiver's index.
*/
#ifndef tests_soak_datagrams_h
#define tests_soak_datagrams_h

#include <stdint.h>

#define MT_SOAK_LINKS_FILE "MT_SOAK_LINKS"
#define MT_SOAK_LINKS_INDEX "MT_SOAK_INDEX"
#define MT_SOAK_GATEWAYS 128

typedef struct mt_soak_link_t {
  uint16_t lost; /* of 1,000 datagrams */
  uint16_t delay_ms;
} mt_soak_link_t;

/* From the first index to the second. */
typedef struct mt_soak_links_t {
  mt_soak_link_t link[MT_SOAK_GATEWAYS][MT_SOAK_GATEWAYS];
  uint32_t
      slept_ms[MT_SOAK_GATEWAYS]; /* the steady clock does not count it */
} mt_soak_links_t;

#endif
