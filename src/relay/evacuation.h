/*
** evacuation.h - failure domains whose engines get no new work
*/
#ifndef evacuation_h
#define evacuation_h

#include "mtobject.h"

#define MT_EVACUATIONS_MAX 64 /* failure domains */

typedef struct mt_evacuations_t {
  char names[MT_EVACUATIONS_MAX][MT_NAME_MAX + 1];
  size_t count;
} mt_evacuations_t;

bool mt_evacuations_has (const mt_evacuations_t *list, const char *domain);

/*
** Puts a failure domain on the list or takes it off. False if nothing
** changes, the name is empty or too long, or the list is full.
*/
bool mt_evacuations_set (mt_evacuations_t *list, const char *domain, bool on);

#endif
