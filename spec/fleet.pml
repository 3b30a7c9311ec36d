/*
** fleet.pml - grants, membership and claims
**
** Two schedulers (one may believe wrongly that the other is dead), two
** routers at the edge, one target, one store. Messages are lost and
** repeated; a router restarts without memory; a holder is paused.
**
** Steps and the reducer functions they stand for:
**   GRANT      issue (mtsched.c)          TAKE     mtE_grant (mtedge.c)
**   CLAIM      mtE_request, mtD_claim     CLAIMED  mtE_claimed (mtedge.c)
**   RUN        start (mtedge.c)           FAIL     mtE_failed (mtedge.c)
**   RESTART    mtR_new (mtcore.c)         LEAVE    apply (mtconf.c)
**
** Mutations, one per property (-DBREAK_x): CLAIM runs without a claim,
** NOTRUN says "not-run" after a lost attempt, LEAVING ignores that the
** target leaves, STARVE never grants to the second router.
*/

#define NEDGE 2
#define NONE 255
#define over(e) (state[e] == DONE || state[e] == REFUSED || state[e] == UNKNOWN)

mtype = { FREE, CLAIMING, CLAIMED, WAITING, RUNNING, DONE, REFUSED, UNKNOWN };

/* The one not-repeatable request, sent to both routers by its caller. */
mtype state[NEDGE] = FREE;
bool mayhaverun[NEDGE];      /* an attempt of this router may have run */
bool acted[NEDGE];           /* the target truly acted for this router */
byte runs = 0;               /* times that the target acted upon it */
byte claim = NONE;           /* the store: which router's claim stands */
byte incarnation[NEDGE];     /* raised by a restart */
byte claiminc = 0;           /* incarnation that wrote the claim */
bool storeup = true;
bool leaving = false;        /* in the configuration that routers have */
bool stale[NEDGE];           /* was paused: its grants are old */
byte restarts = 0, faults = 0;
bool newafterleave = false;

/* Grants on their way: a lossy, repeating channel per router. */
chan grants[NEDGE] = [2] of { byte };

#define MAXFAULTS 2

inline fault() { faults < MAXFAULTS -> faults++ }

/* A scheduler: any router that believes that it is one; two at a time. */
proctype scheduler(byte me)
{
  byte to;
end:
  do
  :: atomic {
       state[0] == WAITING && len(grants[0]) == 0 && !leaving ->
         grants[0] ! me
     }
#ifndef BREAK_STARVE
  :: atomic {
       state[1] == WAITING && len(grants[1]) == 0 && !leaving ->
         grants[1] ! me
     }
#endif
  od
}

proctype edge(byte me)
{
  byte from;
end:
  do
  /* CLAIM: admission of a request that may not be repeated */
  :: atomic { state[me] == FREE ->
#ifdef BREAK_CLAIM
       state[me] = WAITING
#else
       state[me] = CLAIMING
#endif
     }
  /* CLAIMED: create-if-absent; an unknown answer is read back */
  :: atomic { state[me] == CLAIMING && storeup ->
       if
       :: claim == NONE -> claim = me; claiminc = incarnation[me];
            if
            :: state[me] = WAITING
            /* the acknowledgement is lost; the read back finds our own */
            :: fault() -> state[me] = WAITING
            fi
       :: claim == me && claiminc == incarnation[me] -> state[me] = WAITING
       :: claim != NONE && !(claim == me && claiminc == incarnation[me]) ->
            state[me] = UNKNOWN
       fi
     }
  /* the store stays out of reach: refused, and truly not run */
  :: atomic { state[me] == CLAIMING && !storeup -> state[me] = REFUSED }
  /* TAKE, RUN: a grant that is not stale */
  :: atomic { len(grants[me]) > 0 && state[me] == WAITING ->
       grants[me] ? from;
       if
       :: stale[me] -> stale[me] = false
#ifdef BREAK_LEAVING
       :: !stale[me] -> state[me] = RUNNING; newafterleave = newafterleave || leaving
#else
       :: !stale[me] && !leaving -> state[me] = RUNNING
       :: !stale[me] && leaving -> skip
#endif
       fi
     }
  /* a repeated or late grant finds nothing to run */
  :: atomic { len(grants[me]) > 0 && state[me] != WAITING -> grants[me] ? from }
  /* the grant is lost on its way */
  :: atomic { len(grants[me]) > 0 && faults < MAXFAULTS -> grants[me] ? from; faults++ }
  /* the attempt: answered, refused before a byte went out, or lost */
  :: atomic { state[me] == RUNNING ->
       if
       :: runs++; acted[me] = true; state[me] = DONE
       :: fault() -> state[me] = WAITING            /* never connected */
       :: fault() -> runs++; acted[me] = true; mayhaverun[me] = true;
#ifdef BREAK_NOTRUN
            state[me] = REFUSED
#else
            state[me] = UNKNOWN
#endif
       fi
     }
  /* waited too long: nothing was sent */
  :: atomic { state[me] == WAITING && leaving ->
       if
       :: mayhaverun[me] -> state[me] = UNKNOWN
       :: else -> state[me] = REFUSED;
            if
            :: claim == me && claiminc == incarnation[me] -> claim = NONE
            :: else -> skip
            fi
       fi
     }
  /* RESTART without memory: the caller sees the connection break and asks
  ** again with the same key, at this router's next incarnation */
  :: atomic { restarts < 1 && state[me] != FREE && !over(me) ->
       restarts++; incarnation[me]++;
       if
       :: state[me] == RUNNING -> if :: runs++; acted[me] = true :: skip fi
       :: else -> skip
       fi;
       state[me] = FREE; mayhaverun[me] = false; acted[me] = false;
       stale[me] = false
     }
  /* paused and resumed: what it holds is old */
  :: atomic { faults < MAXFAULTS && state[me] == WAITING && !stale[me] && len(grants[me]) > 0 ->
       faults++; stale[me] = true }
  :: over(me) -> break
  od
}

/* The outside: the store goes away and comes back; the target leaves. */
proctype outside()
{
end:
  do
  :: atomic { storeup && faults < MAXFAULTS -> storeup = false; faults++ }
  :: atomic { !storeup -> storeup = true }
  :: atomic { !leaving && faults < MAXFAULTS -> leaving = true; faults++ }
  :: break
  od;
  storeup = true
}

init {
  atomic { run scheduler(1); run scheduler(2); run edge(0); run edge(1); run outside() }
}

/* At most once, whatever is lost, repeated or restarted. */
ltl atmostonce { [] (runs <= 1) }

/* "not-run" is true: the target has not acted for this router's caller. */
ltl nofalsenotrun { [] !((state[0] == REFUSED && acted[0]) || (state[1] == REFUSED && acted[1])) }

/* A target that leaves gets nothing new once the routers know. */
ltl leavesinpeace { [] !newafterleave }

/* Whoever waits is served or told. */
ltl served { [] ((state[1] == WAITING) -> <> (state[1] != WAITING)) }
