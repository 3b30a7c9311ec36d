/*
** event_check.c - tells the events of a stream from other bytes
*/
#include <string.h>

#include "event_check.h"

/* What the lines of a block hold. */
typedef struct block_t {
  int ids;    /* lines with an id */
  int64_t id; /* -1: not a whole number */
  bool data,
      extended; /* extended: it has a field that is not the grammar's */
} block_t;

static bool is_name (mt_bytes_t text, const char *name) {
  return text.n == strlen(name) && memcmp(text.p, name, text.n) == 0;
}

static bool is_number (mt_bytes_t text) {
  for (size_t i = 0; i < text.n; i++)
    if (text.p[i] < '0' || text.p[i] > '9') return false;
  return text.n > 0;
}

static bool is_extension (const mt_event_rules_t *rules, mt_bytes_t name) {
  for (size_t i = 0; i < rules->fields_count; i++)
    if (is_name(name, rules->fields[i])) return true;
  return false;
}

/* Readers of the grammar also end a line at a carriage return alone, and an
   id with a null byte is ignored: a line with either means different things
   to different readers. */
static bool is_ambiguous (mt_bytes_t line) {
  return memchr(line.p, '\r', line.n) != NULL ||
         memchr(line.p, '\0', line.n) != NULL;
}

/* Reads one line without its end; false if it is no field and no comment. */
static bool read_line (const mt_event_rules_t *rules, mt_bytes_t line,
                       block_t *block) {
  if (line.n == 0) return true;
  if (is_ambiguous(line)) return false;
  const char *colon = memchr(line.p, ':', line.n);
  if (colon == line.p) return true; /* a comment */
  size_t size = colon != NULL ? (size_t)(colon - line.p) : line.n;
  mt_bytes_t name = {line.p, size}, value = {line.p + size, 0};
  if (colon != NULL) value = (mt_bytes_t){colon + 1, line.n - size - 1};
  if (value.n > 0 && *value.p == ' ') value.p++, value.n--;
  if (is_name(name, "data")) {
    block->data = true;
  } else if (is_name(name, "id")) {
    block->ids++;
    block->id = mt_event_id(value);
  } else if (is_name(name, "retry")) {
    return is_number(value);
  } else if (!is_name(name, "event")) {
    block->extended = true;
    return colon != NULL && is_extension(rules, name);
  }
  return true;
}

/* False if a line is no field and no comment. */
static bool read_block (const mt_event_rules_t *rules, mt_bytes_t text,
                        block_t *block) {
  const char *p = text.p, *end = text.p + text.n;
  *block = (block_t){.id = -1};
  while (p < end) {
    const char *stop = memchr(p, '\n', (size_t)(end - p));
    if (stop == NULL) stop = end;
    mt_bytes_t line = {p, (size_t)(stop - p)};
    if (line.n > 0 && line.p[line.n - 1] == '\r') line.n--;
    if (!read_line(rules, line, block)) return false;
    p = stop + 1;
  }
  return true;
}

static mt_event_verdict_t check_rising (const mt_event_position_t *at,
                                        int64_t id) {
  if (at->previous >= 0 && id <= at->previous) return MT_EVENT_REPEATED;
  return id <= at->last ? MT_EVENT_KNOWN : MT_EVENT_DUE;
}

static mt_event_verdict_t check_consecutive (const mt_event_position_t *at,
                                             int64_t id) {
  if (at->previous >= 0 && id <= at->previous) return MT_EVENT_REPEATED;
  if (at->previous >= 0 && id != at->previous + 1) return MT_EVENT_GAP;
  if (at->last >= 0 || at->previous >= 0) {
    if (id <= at->last) return MT_EVENT_KNOWN;
    return id == at->last + 1 ? MT_EVENT_DUE : MT_EVENT_GAP;
  }
  if (at->first >= 0 && id < at->first) return MT_EVENT_REPEATED;
  return id <= (at->first >= 0 ? at->first : 1) ? MT_EVENT_DUE : MT_EVENT_GAP;
}

static mt_event_verdict_t check_block (const block_t *block) {
  if (block->ids == 0 && !block->data)
    return block->extended ? MT_EVENT_NO_DATA : MT_EVENT_NOTHING;
  if (block->ids == 0) return MT_EVENT_NO_ID;
  if (block->ids > 1 || block->id < 0) return MT_EVENT_BAD_ID;
  return block->data ? MT_EVENT_DUE : MT_EVENT_NO_DATA;
}

mt_event_verdict_t mt_event_check (const mt_event_rules_t *rules,
                                   const mt_event_position_t *at,
                                   const mt_stream_event_t *event) {
  block_t block;
  if (rules->ids == MT_EVENT_IDS_UNCHECKED)
    return event->id >= 0 && event->id <= at->last ? MT_EVENT_KNOWN
                                                   : MT_EVENT_DUE;
  if (!read_block(rules, event->text, &block)) return MT_EVENT_BAD_LINE;
  mt_event_verdict_t verdict = check_block(&block);
  if (verdict != MT_EVENT_DUE) return verdict;
  return rules->ids == MT_EVENT_IDS_RISING ? check_rising(at, block.id)
                                           : check_consecutive(at, block.id);
}

bool mt_event_is_fault (mt_event_verdict_t verdict) {
  switch (verdict) {
    case MT_EVENT_DUE:
    case MT_EVENT_KNOWN:
    case MT_EVENT_NOTHING: return false;
    default: return true;
  }
}

const char *mt_event_verdict_name (mt_event_verdict_t verdict) {
  static const char *const names[] = {
#define MT_EVENT_NAME(symbol, name) name,
      MT_EVENT_VERDICTS(MT_EVENT_NAME)
#undef MT_EVENT_NAME
  };
  return (size_t)verdict < mt_countof(names) ? names[verdict] : "";
}

bool mt_event_rules_add_field (mt_event_rules_t *rules, const char *name) {
  size_t n = strlen(name);
  if (n == 0 || n > MT_EVENT_FIELD_NAME_MAX) return false;
  if (strpbrk(name, ":\r\n") != NULL) return false;
  if (rules->fields_count >= MT_EVENT_FIELDS_MAX) return false;
  memcpy(rules->fields[rules->fields_count++], name, n + 1);
  return true;
}
