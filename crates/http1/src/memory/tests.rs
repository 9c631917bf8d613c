//! Budgets of memory, their charges, and those that wait.

use std::cell::{Cell, RefCell};
use std::sync::atomic::AtomicUsize;
use std::task::Wake;

use sableloom_admission::ConnectionId;

use super::*;

/// Counts how often it is woken.
#[derive(Default)]
struct Woken(AtomicUsize);

impl Wake for Woken {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

impl Woken {
    fn count(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

/// Notes what it is to free, and says whether it will.
#[derive(Default)]
struct Reclaimer {
    will_free: Cell<bool>,
    demands: RefCell<Vec<usize>>,
}

impl MemoryReclaimer for Reclaimer {
    fn reclaim(&self, demand: MemoryDemand, _: MemoryRequester) -> bool {
        self.demands.borrow_mut().push(demand.needed);
        self.will_free.get()
    }
}

const REQUEST: MemoryRequester = MemoryRequester::CompleteRequest(ConnectionId(0));
const ATTEMPT: MemoryRequester = MemoryRequester::Attempt;

/// A budget of 1000 bytes, of which clients may take 850.
fn budget() -> (Rc<MemoryBudget>, Rc<Reclaimer>) {
    let (budget, reclaimer) = (MemoryBudget::new(1000), Rc::<Reclaimer>::default());
    let weak: Weak<dyn MemoryReclaimer> = Rc::<Reclaimer>::downgrade(&reclaimer);
    budget.set_reclaimer(weak);
    (budget, reclaimer)
}

fn grow(
    budget: &MemoryBudget,
    woken: &Arc<Woken>,
    charge: &mut MemoryCharge,
    bytes: usize,
    requester: MemoryRequester,
) -> Poll<Result<(), MemoryExhausted>> {
    let waker = Waker::from(woken.clone());
    budget.poll_grow(&Context::from_waker(&waker), charge, bytes, requester)
}

#[test]
fn requests_leave_a_part_of_the_memory_to_answers() {
    let (budget, reclaimer) = budget();
    let woken = Arc::<Woken>::default();
    let (mut request, mut answer) = (budget.charge(), budget.charge());
    assert_eq!(grow(&budget, &woken, &mut request, 850, REQUEST), Poll::Ready(Ok(())));
    let exhausted = Poll::Ready(Err(MemoryExhausted));
    let mut other = budget.charge();
    assert_eq!(grow(&budget, &woken, &mut other, 50, REQUEST), exhausted);
    assert_eq!(*reclaimer.demands.borrow(), [50]);
    assert_eq!(other.bytes(), 0, "a charge that can't grow stays as it is");
    assert_eq!(grow(&budget, &woken, &mut answer, 150, ATTEMPT), Poll::Ready(Ok(())));
    assert_eq!(grow(&budget, &woken, &mut answer, 151, ATTEMPT), exhausted);
}

#[test]
fn whoever_waits_is_woken_when_memory_is_released() {
    let (budget, reclaimer) = budget();
    reclaimer.will_free.set(true);
    let [holder_woken, first, second, third] = <[Arc<Woken>; 4]>::default();
    let mut holder = budget.charge();
    assert_eq!(grow(&budget, &holder_woken, &mut holder, 800, REQUEST), Poll::Ready(Ok(())));
    let (mut one, mut two, mut three) = (budget.charge(), budget.charge(), budget.charge());
    assert_eq!(grow(&budget, &first, &mut one, 700, REQUEST), Poll::Pending);
    assert_eq!(grow(&budget, &second, &mut two, 700, REQUEST), Poll::Pending);
    assert_eq!(grow(&budget, &third, &mut three, 100, REQUEST), Poll::Pending);
    drop(holder);
    let counts = || [first.count(), second.count(), third.count()];
    assert_eq!(counts(), [1, 0, 1], "the first, and the one behind it for whom there is memory");
    assert_eq!(grow(&budget, &first, &mut one, 700, REQUEST), Poll::Ready(Ok(())));
    assert_eq!(grow(&budget, &second, &mut two, 700, REQUEST), Poll::Pending, "it asks again");
    drop(one);
    assert_eq!(counts(), [1, 1, 1], "it is woken once");
    let mut holder = budget.charge();
    holder.set_at_least(800);
    assert_eq!(grow(&budget, &second, &mut two, 700, REQUEST), Poll::Pending);
    // Nothing is freed after all.
    reclaimer.will_free.set(false);
    budget.wake_waiting();
    assert_eq!(second.count(), 2);
    let polled = grow(&budget, &second, &mut two, 700, REQUEST);
    assert_eq!(polled, Poll::Ready(Err(MemoryExhausted)));
}

#[test]
fn what_can_never_fit_is_refused_and_nothing_is_shed_for_it() {
    let (budget, reclaimer) = budget();
    reclaimer.will_free.set(true);
    let polled = grow(&budget, &Arc::default(), &mut budget.charge(), 851, REQUEST);
    assert_eq!(polled, Poll::Ready(Err(MemoryExhausted)));
    assert!(reclaimer.demands.borrow().is_empty());
}

#[test]
fn what_is_held_beside_connections_leaves_them_less() {
    let (budget, _reclaimer) = budget();
    budget.set_other(600);
    assert!(!budget.charge().try_grow(300));
    budget.set_other(500);
    assert!(budget.charge().try_grow(300));
}

#[test]
fn a_charge_is_released_wherever_it_ends() {
    let (budget, _reclaimer) = budget();
    let mut charge = budget.charge();
    charge.set_at_least(600);
    assert!(!budget.allows_retained_buffers());
    let taken = charge.take();
    assert_eq!((charge.bytes(), taken.bytes()), (0, 600));
    drop(charge);
    assert!(!budget.charge().try_grow(300));
    let bytes = bytes::Bytes::from_owner(ChargedBytes { bytes: vec![0; 600], _charge: taken });
    let part = bytes.slice(10..20);
    drop(bytes);
    assert!(!budget.charge().try_grow(300), "a part holds all of it");
    drop(part);
    assert!(budget.charge().try_grow(850));
}
