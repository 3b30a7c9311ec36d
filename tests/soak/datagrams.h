/*
** datagrams.h - shared memory by which the soak controls datagrams between
** gateways and their steady clocks
**
** datagrams.c is loaded into each gateway with LD_PRELOAD and interposes
** sendmsg and clock_gettime. It maps a file that the soak writes and looks up
** each datagram there by the indexes of its sender and receiver.
*/
#ifndef tests_soak_datagrams_h
#define tests_soak_datagrams_h

#include <stdint.h>

/* Environment variables of a gateway: the path of the file, and its index. */
#define MT_SOAK_LINKS_ENV "MT_SOAK_LINKS"
#define MT_SOAK_INDEX_ENV "MT_SOAK_INDEX"
#define MT_SOAK_GATEWAYS_MAX 128

typedef struct mt_soak_link_t {
  uint16_t loss_permille; /* of 1,000 datagrams */
  uint16_t delay_ms;
} mt_soak_link_t;

/* The content of the file: links by sender and receiver, and for each gateway
   how long it was suspended in all, which its steady clock leaves out. */
typedef struct mt_soak_links_t {
  mt_soak_link_t link[MT_SOAK_GATEWAYS_MAX][MT_SOAK_GATEWAYS_MAX];
  uint32_t suspended_ms[MT_SOAK_GATEWAYS_MAX];
} mt_soak_links_t;

#endif
