/*
** evacuation.c - failure domains whose engines get no new work
*/
#include <stdio.h>
#include <string.h>

#include "evacuation.h"

/* Index of the domain, or the count if it is not on the list. */
static size_t find (const mt_evacuations_t *list, const char *domain) {
  size_t i = 0;
  while (i < list->count && strcmp(list->names[i], domain) != 0) i++;
  return i;
}

bool mt_evacuations_has (const mt_evacuations_t *list, const char *domain) {
  return domain != NULL && find(list, domain) < list->count;
}

bool mt_evacuations_set (mt_evacuations_t *list, const char *domain,
                         bool on) {
  size_t at = find(list, domain), size = strlen(domain);
  if (on == (at < list->count) || size == 0 || size > MT_NAME_MAX)
    return false;
  if (on && list->count == MT_EVACUATIONS_MAX) return false;
  if (on)
    memcpy(list->names[list->count++], domain, size + 1);
  else if (at != --list->count)
    memcpy(list->names[at], list->names[list->count], sizeof list->names[at]);
  return true;
}
