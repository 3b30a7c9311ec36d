/*
** suspects_page.h - the operators' page of requests suspected of crashing
** engines (suspects.h)
*/
#ifndef suspects_page_h
#define suspects_page_h

#include "dialect.h"
#include "suspects.h"

/* True for the paths "/suspects" and "/suspects/DIGEST", which the metrics
   listener serves. */
bool mt_suspects_page_matches (mt_bytes_t target);

/* The digest in the path, 16 hexadecimal digits; 0: none or invalid. */
uint64_t mt_suspects_page_digest (mt_bytes_t target);

/* Appends one line for each suspect that this router knows. */
void mt_suspects_page_list (const mt_suspects_t *suspects, mt_ms_t now,
                            mt_strbuf_t *out);

#endif
