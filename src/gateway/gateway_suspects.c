/*
** gateway_suspects.c - the operators' page of suspects, and their records at
** the configuration source
*/
#include "gateway_log.h"
#include "gateway_state.h"
#include "suspects_page.h"

/* {== The operators' page ============================================== */

bool mt_gateway_write_suspects_page (mt_gateway_t *g, mt_bytes_t method,
                                     mt_bytes_t target) {
  uint64_t digest = mt_suspects_page_digest(target);
  bool clears = mt_bytes_equal_nocase(method, "DELETE");
  bool known = mt_suspects_get(&g->relay->suspects, digest) != NULL;
  const mt_suspect_message_t message = {.kind = MT_SUSPECT_MESSAGE_ANSWERED,
                                        .digest = digest};
  if (clears && known)
    mt_gateway_peers_send_suspect_message(g->peers, &message);
  mt_suspects_page_list(&g->relay->suspects, mt_boot_clock_now(g->loop),
                        &g->scratch);
  return !clears || known;
}

/* }== */

/* {== Records ========================================================== */

static bool owns (void *ud, uint64_t name) {
  return mt_gateway_peers_owns_suspect(ud, name);
}

mt_suspect_record_t mt_gateway_next_suspect_record (mt_gateway_t *g) {
  return mt_suspect_records_next(&g->records, &g->relay->suspects, owns,
                                 g->peers, mt_boot_clock_now(g->loop));
}

void mt_gateway_suspect_recorded (mt_gateway_t *g,
                                  const mt_suspect_record_t *record) {
  mt_ms_t now = mt_boot_clock_now(g->loop);
  mt_suspect_records_written(&g->records, record, now);
  mt_gateway_log_suspect(g->log, now, g->relay, record->row.digest, "-",
                         record->write == MT_RECORD_PUT ? "recorded"
                                                        : "record-deleted");
}

void mt_gateway_suspect_read (mt_gateway_t *g, const mt_suspect_row_t *row) {
  mt_ms_t now = mt_boot_clock_now(g->loop);
  mt_suspect_records_read(&g->records, row->digest, now);
  if (mt_suspects_merge(&g->relay->suspects, row, now))
    mt_gateway_log_suspect(g->log, now, g->relay, row->digest, "-", "read");
}

/* }== */
