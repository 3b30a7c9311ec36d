/*
** suspects_page.h - what operators see of suspects, and how they clear one
*/
#ifndef suspects_page_h
#define suspects_page_h

#include "dialect.h"
#include "suspects.h"

/* "/suspects" or "/suspects/DIGEST" below the metrics address. */
bool mt_suspects_page_is_at (mt_bytes_t target);

/* The digest that the path names; 0: none, or not one. */
uint64_t mt_suspects_page_digest (mt_bytes_t target);

/* One line for each that is known here. */
void mt_suspects_page_list (const mt_suspects_t *suspects, mt_ms_t now,
                            mt_text_t *out);

#endif
