/*
 * Claim before start (docs/design.md, section 4; src/claims), for one key of a
 * prefix with three members. VM 0 is the issuer, 1 and 2 are the other members,
 * 3 is no member. Two of the VMs, XA and XB, may execute the job, so that the
 * key is resubmitted at two VMs; XA claims it up to ATTEMPTS times.
 *
 * A request once sent may be delivered at any later time, any number of times,
 * or never; a reply is consumed at most once, and is dropped with the phase
 * that asked for it (park() takes a new request number for each phase). This
 * covers loss, duplication, reordering, cuts in one or both directions, a
 * silent issuer and a frozen VM, which takes part again later. Timeouts may
 * occur at any time. RESTARTS VMs restart empty, as other incarnations. Each
 * call of a function is one step (d_step), since the event loop runs it whole.
 *
 * Checked: the key starts at most once, and never before or after "not run".
 *
 * Broken variants, which the checker must refute:
 *   START_BEFORE_MAJORITY    the issuer's record alone is enough
 *   RESTARTED_MEMBER_COUNTS  a member that restarted empty goes on as a member
 *   STALE_OWNER_STARTS       an executor that promised not to start still does
 *   SEAL_NOT_KEPT            a sealed member holds a further grant
 */
#ifndef XA
#define XA 1
#endif
#ifndef XB
#define XB 3
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 1
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif

#define ISSUER 0
#define NOBODY 7
#define BIT(n) (1 << (n))
#define IS_MEMBER(v) ((v) < 3)
#define MAJORITY(set) ((set) == 3 || (set) >= 5)
#define REPLY_VOID 16
#define SEAL_REPLY(x, m) ((sealReply[x] >> (4 * (m))) & 15)
#define PUT_SEAL_REPLY(x, m, value) \
  sealReply[x] = sealReply[x] | ((value) << (4 * (m)))

/* ClaimPhase; Refusing is Granting with the intent Refuse. */
#define Idle 0
#define Granting 1
#define Holding 2
#define Refusing 3
#define Sealing 4
#define Asking 5

/* Members: PrefixRecord::Grants, HeldGrant::Provisional, ::Sealed. */
byte held[3] = NOBODY;
bool provisional[3];
bool sealed[3];
/* PrefixRecord::Voids: at the issuer void, elsewhere a promise. */
bool voided[4];
/* The run that the prefix or a grant names has ended. */
bool lost[4];
byte restarts;

/* Executors: PendingClaim. Sets of VMs are bit masks. */
byte phase[4];
/* Claims that are left. */
byte attempts[4];
byte holders[4];
bool grantedHere[4];
byte sealedBy[4];
byte reported[4];
bool grantReported[4];

/* Requests in flight. */
byte forwarded[4];
bool claimSent[4];
bool refuseSent[4];
byte holdSent[4];
byte sealSent[4];
byte askSent[4];
/* Replies in flight: sets of VMs, or of verdicts for the issuer's reply. A
 * seal's reply is 1 without a report, 2 + executor for a provisional grant,
 * 6 + executor for the issuer's grant, in four bits for each member; an answer
 * of the other executor is 1 promised, 2 running. */
byte grantReply[4];
byte holdReply[4];
short sealReply[4];
byte askReply[4];

bool running[4];
byte starts;
bool notRun;

#ifdef RESTARTED_MEMBER_COUNTS
#define TAKES_PART(m) true
#else
#define TAKES_PART(m) (!lost[m])
#endif

#ifdef SEAL_NOT_KEPT
#define SEALED(m) false
#else
#define SEALED(m) sealed[m]
#endif

#ifdef START_BEFORE_MAJORITY
#define COUNTS(set) ((set) != 0)
#else
#define COUNTS(set) MAJORITY(set)
#endif

#ifdef STALE_OWNER_STARTS
#define MAY_START(x) true
#else
#define MAY_START(x) (!voided[x])
#endif

inline check() {
  assert(starts <= 1);
  assert(starts == 0 || !notRun)
}

/* park(): replies to the earlier phase are ignored from now on. */
inline enter(x, next) {
  phase[x] = next;
  grantReply[x] = 0;
  holdReply[x] = 0;
  sealReply[x] = 0;
  askReply[x] = 0
}

/* A claim that ends is forgotten. */
inline finish(x) {
  enter(x, Idle);
  holders[x] = 0; grantedHere[x] = false;
  sealedBy[x] = 0; reported[x] = 0; grantReported[x] = false
}

inline finishNotRun(x) {
  finish(x);
  notRun = true;
  check()
}

/* holdGrant() for a grant that the issuer has given to x. */
#define CAN_HOLD(m, x) \
  (held[m] == x || (!SEALED(m) && (held[m] == NOBODY || provisional[m])))

/* continueHolding() and startJob(). */
inline continueHolding(x) {
  if
  :: COUNTS(holders[x]) && MAY_START(x) ->
     finish(x);
     starts++;
     phase[x] = Idle;
     attempts[x] = 0;
     running[x] = true;
     check()
  :: COUNTS(holders[x]) && !MAY_START(x) -> finishNotRun(x)
  :: else -> enter(x, Holding); holdSent[x] = holdSent[x] | (7 & ~BIT(x) & ~1)
  fi
}

/* onGrantedHere(). */
inline issuerGranted(x) {
  if
  :: !MAY_START(x) -> finishNotRun(x)
  :: else ->
     grantedHere[x] = true;
     holders[x] = holders[x] | BIT(ISSUER);
     if
     :: IS_MEMBER(x) && x != ISSUER && CAN_HOLD(x, x) ->
        held[x] = x; provisional[x] = false;
        holders[x] = holders[x] | BIT(x)
     :: else
     fi;
     continueHolding(x)
  fi
}

/* promise(): at the issuer a key granted to another stays granted. */
inline promise(y) {
  if
  :: y != ISSUER -> voided[y] = true
  :: y == ISSUER && (held[ISSUER] == NOBODY || held[ISSUER] == ISSUER) ->
     held[ISSUER] = NOBODY; voided[ISSUER] = true
  :: else
  fi
}

/* beginSealing(), with sealRecord() for a claiming member. */
inline beginSealing(x) {
  enter(x, Sealing);
  if
  :: IS_MEMBER(x) ->
     sealed[x] = true;
     sealedBy[x] = BIT(x);
     if
     :: held[x] != NOBODY ->
        reported[x] = BIT(held[x]); grantReported[x] = !provisional[x]
     :: else
     fi
  :: else
  fi;
  sealSent[x] = sealSent[x] | (7 & ~BIT(x))
}

/* resolveSeal() and beginQuerying(). */
inline resolveSeal(x) {
  promise(x);
  reported[x] = reported[x] & ~BIT(x);
  if
  :: reported[x] == 0 -> finishNotRun(x)
  :: else -> enter(x, Asking); askSent[x] = askSent[x] | reported[x]
  fi
}

/* onSealReply() for a reply of the member m. */
inline takeSealReply(x, m) {
  reply = SEAL_REPLY(x, m);
  sealReply[x] = sealReply[x] & ~(15 << (4 * (m)));
  if
  /* resolveIssuerSeal(). */
  :: m == ISSUER && reply == 1 -> finishNotRun(x)
  :: m == ISSUER && reply == 6 + x -> promise(x); finishNotRun(x)
  :: m == ISSUER && reply != 1 && reply != 6 + x -> finish(x)
  :: m != ISSUER ->
     sealedBy[x] = sealedBy[x] | BIT(m);
     if
     :: reply >= 6 && !grantReported[x] ->
        reported[x] = BIT(reply - 6); grantReported[x] = true
     :: reply >= 2 && reply < 6 && !grantReported[x] ->
        reported[x] = reported[x] | BIT(reply - 2)
     :: else
     fi;
     if
     :: MAJORITY(sealedBy[x]) -> resolveSeal(x)
     :: else
     fi
  fi;
  reply = 0
}

/* onAnswerReply() of a candidate y. */
inline takeAskReply(x, y) {
  reply = askReply[x];
  askReply[x] = 0;
  if
  :: reply == 2 -> finish(x)
  :: else ->
     reported[x] = reported[x] & ~BIT(y);
     if
     :: reported[x] == 0 -> finishNotRun(x)
     :: else
     fi
  fi;
  reply = 0
}

/* begin() and beginGranting() of claimJob(); hold is forwardJob()'s result. */
inline claimJob(x, hold) {
  attempts[x]--;
  holders[x] = hold;
  if
  :: x == ISSUER && voided[x] -> finishNotRun(x)
  :: x == ISSUER && !voided[x] && held[x] == NOBODY && SEALED(x) ->
     finishNotRun(x)
  :: x == ISSUER && !voided[x] && held[x] == NOBODY && !SEALED(x) ->
     held[x] = x; issuerGranted(x)
  :: x == ISSUER && held[x] == x -> issuerGranted(x)
  :: x == ISSUER && held[x] != x && held[x] != NOBODY -> finish(x)
  :: x != ISSUER && !MAY_START(x) -> enter(x, Refusing); refuseSent[x] = true
  :: x != ISSUER && MAY_START(x) && (hold & BIT(ISSUER)) -> issuerGranted(x)
  :: x != ISSUER && MAY_START(x) && !(hold & BIT(ISSUER)) ->
     enter(x, Granting); claimSent[x] = true
  fi
}

/* A VM that executes the job: claimJob(), refuseJob(), receive(), tick(). */
proctype Executor(byte x) {
  byte reply;
end:
  do
  :: d_step { phase[x] == Idle && attempts[x] > 0 && !lost[x] ->
       claimJob(x, 0) }
  :: d_step { phase[x] == Idle && attempts[x] > 0 && !lost[x] &&
              forwarded[x] != 0 ->
       claimJob(x, forwarded[x]) }
  /* refuseJob() before any start, also as a caller's cancellation. */
  :: d_step { !running[x] && !lost[x] && x != ISSUER &&
              (phase[x] == Granting || phase[x] == Holding) ->
       voided[x] = true; enter(x, Refusing); refuseSent[x] = true }
  /* applyVerdict(). */
  :: d_step { !lost[x] && phase[x] == Granting && (grantReply[x] & BIT(x)) ->
       issuerGranted(x) }
  :: d_step { !lost[x] && (phase[x] == Granting || phase[x] == Refusing) &&
              (grantReply[x] & REPLY_VOID) ->
       finishNotRun(x) }
  :: d_step { !lost[x] && (phase[x] == Granting || phase[x] == Refusing) &&
              (grantReply[x] & 15 & ~BIT(x)) ->
       finish(x) }
  /* onHoldReply(). */
  :: d_step { !lost[x] && phase[x] == Holding &&
              (holdReply[x] & ~holders[x]) ->
       holders[x] = holders[x] | holdReply[x];
       continueHolding(x) }
  :: d_step { !lost[x] && phase[x] == Sealing && SEAL_REPLY(x, 0) ->
       takeSealReply(x, 0) }
  :: d_step { !lost[x] && phase[x] == Sealing && SEAL_REPLY(x, 1) ->
       takeSealReply(x, 1) }
  :: d_step { !lost[x] && phase[x] == Sealing && SEAL_REPLY(x, 2) ->
       takeSealReply(x, 2) }
  :: d_step { !lost[x] && phase[x] == Asking && askReply[x] ->
       takeAskReply(x, XA + XB - x) }
  /* endPhase(): onIssuerUnavailable(), abandonGrant(), or an unknown outcome. */
  :: d_step { !lost[x] && phase[x] == Granting -> beginSealing(x) }
  :: d_step { !lost[x] && phase[x] == Holding && x == ISSUER ->
       promise(x); finishNotRun(x) }
  :: d_step { !lost[x] && phase[x] == Holding && x != ISSUER ->
       voided[x] = true; enter(x, Refusing); refuseSent[x] = true }
  :: d_step { !lost[x] && phase[x] == Refusing && grantedHere[x] ->
       finishNotRun(x) }
  :: d_step { !lost[x] && phase[x] == Refusing && !grantedHere[x] ->
       beginSealing(x) }
  :: d_step { !lost[x] && (phase[x] == Sealing || phase[x] == Asking) ->
       finish(x) }
  od
}

/* MessageHandler for GrantRequest: decideGrant(). */
inline decideGrant(x) {
  if
  :: voided[ISSUER] -> grantReply[x] = grantReply[x] | REPLY_VOID
  :: !voided[ISSUER] && held[ISSUER] != NOBODY ->
     grantReply[x] = grantReply[x] | BIT(held[ISSUER])
  /* GrantVerdict::Sealed; it means the same as Void. */
  :: !voided[ISSUER] && held[ISSUER] == NOBODY && SEALED(ISSUER) ->
     grantReply[x] = grantReply[x] | REPLY_VOID
  :: !voided[ISSUER] && held[ISSUER] == NOBODY && !SEALED(ISSUER) ->
     held[ISSUER] = x;
     grantReply[x] = grantReply[x] | BIT(x)
  fi
}

inline refuseAtIssuer(x) {
  if
  :: !voided[ISSUER] && held[ISSUER] != NOBODY && held[ISSUER] != x ->
     grantReply[x] = grantReply[x] | BIT(held[ISSUER])
  :: else ->
     held[ISSUER] = NOBODY;
     voided[ISSUER] = true;
     grantReply[x] = grantReply[x] | REPLY_VOID
  fi
}

/* The requests of the executor x at the member m. */
proctype Member(byte m; byte x) {
end:
  do
  :: d_step { m == ISSUER && TAKES_PART(m) && claimSent[x] &&
              phase[x] == Granting && grantReply[x] == 0 ->
       decideGrant(x) }
  /* The same request delivered late: only its effect at the issuer counts. */
  :: d_step { m == ISSUER && TAKES_PART(m) && claimSent[x] &&
              phase[x] != Granting && !voided[m] && held[m] == NOBODY &&
              !SEALED(m) ->
       held[m] = x }
  :: d_step { m == ISSUER && TAKES_PART(m) && refuseSent[x] &&
              grantReply[x] == 0 ->
       refuseAtIssuer(x);
       if
       :: phase[x] != Refusing -> grantReply[x] = 0
       :: else
       fi }
  /* HoldRequest. */
  :: d_step { m != ISSUER && TAKES_PART(m) && (holdSent[x] & BIT(m)) &&
              CAN_HOLD(m, x) &&
              (held[m] != x || provisional[m] ||
               (phase[x] == Holding && !(holdReply[x] & BIT(m)))) ->
       held[m] = x; provisional[m] = false;
       if
       :: phase[x] == Holding -> holdReply[x] = holdReply[x] | BIT(m)
       :: else
       fi }
  /* SealRequest: sealRecord(). */
  :: d_step { m != x && TAKES_PART(m) && (sealSent[x] & BIT(m)) &&
              (!sealed[m] ||
               (phase[x] == Sealing && SEAL_REPLY(x, m) == 0 &&
                !(sealedBy[x] & BIT(m)))) ->
       sealed[m] = true;
       if
       :: phase[x] == Sealing && held[m] == NOBODY -> PUT_SEAL_REPLY(x, m, 1)
       :: phase[x] == Sealing && held[m] != NOBODY && provisional[m] ->
          PUT_SEAL_REPLY(x, m, 2 + held[m])
       :: phase[x] == Sealing && held[m] != NOBODY && !provisional[m] ->
          PUT_SEAL_REPLY(x, m, 6 + held[m])
       :: else
       fi }
  /* forwardJob() to x: forwardFromIssuer() or forwardFromMember(). */
  :: d_step { m != x && !lost[m] && !(forwarded[x] & BIT(m)) &&
              !voided[ISSUER] && m == ISSUER &&
              (held[m] == x || (held[m] == NOBODY && !SEALED(m))) ->
       held[m] = x;
       forwarded[x] = forwarded[x] | BIT(m) }
  :: d_step { m != x && !lost[m] && !(forwarded[x] & BIT(m)) && m != ISSUER &&
              (held[m] == x || (held[m] == NOBODY && !SEALED(m))) ->
       if
       :: held[m] == NOBODY -> provisional[m] = true
       :: else
       fi;
       held[m] = x;
       forwarded[x] = forwarded[x] | BIT(m) }
  od
}

/* AnswerQuery with Release of x at the other executor y: answer(). */
proctype Candidate(byte x; byte y) {
end:
  do
  :: d_step { !lost[y] && (askSent[x] & BIT(y)) && askReply[x] == 0 &&
              (running[y] || phase[y] == Granting || phase[y] == Holding) &&
              phase[x] == Asking ->
       askReply[x] = 2 }
  :: d_step { !lost[y] && (askSent[x] & BIT(y)) && askReply[x] == 0 &&
              !running[y] && phase[y] != Granting && phase[y] != Holding &&
              (phase[x] == Asking || !voided[y]) ->
       promise(y);
       if
       :: phase[x] == Asking -> askReply[x] = 1
       :: else
       fi }
  od
}

/* A restart loses the memory and the claims of a VM. */
proctype Restart() {
  byte v;
end:
  do
  :: atomic { restarts < RESTARTS ->
       if
       :: v = 0
       :: v = 1
       :: v = 2
       :: v = 3
       fi;
       restarts++;
       lost[v] = true;
       voided[v] = false;
       running[v] = false;
       finish(v);
       if
       :: IS_MEMBER(v) ->
          held[v] = NOBODY; provisional[v] = false; sealed[v] = false
       :: else
       fi;
       v = 0 }
  od
}

init {
  atomic {
    attempts[XA] = ATTEMPTS;
    attempts[XB] = 1;
    run Executor(XA);
    run Executor(XB);
    run Member(0, XA); run Member(1, XA); run Member(2, XA);
    run Member(0, XB); run Member(1, XB); run Member(2, XB);
    run Candidate(XA, XB);
    run Candidate(XB, XA);
    run Restart()
  }
}
