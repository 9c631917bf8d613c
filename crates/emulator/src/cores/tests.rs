use super::*;

const CAPACITY: NodeCapacity = NodeCapacity { cores: 2.0, speed: 0.5, slots: 3, queue_limit: 1 };

fn run(server: &mut Cores) -> Vec<(Time, u64)> {
    let mut done = Vec::new();
    while let Some(at) = server.next() {
        server.advance(at, 1.0);
        while let Some(id) = server.worked() {
            done.push((at, id));
            server.release();
        }
    }
    done
}

#[test]
fn cores_are_shared_evenly_and_the_waiting_go_last() {
    let mut server = Cores::new(CAPACITY, Time(0));
    assert!((0..4).all(|id| server.offer(Job { id, work: 1000.0 }) != Admission::Full));
    assert_eq!(server.offer(Job { id: 4, work: 1000.0 }), Admission::Full, "no room for a fifth");
    // Three share two cores at half speed: 3 ms each; the fourth has one alone for 2 ms.
    let done = run(&mut server);
    assert_eq!(done.iter().map(|d| d.1).collect::<Vec<_>>(), [0, 1, 2, 3]);
    assert_eq!((done[2].0, done[3].0), (Time(3000), Time(5000)));
    assert_eq!(server.occupancy(), 0);
}

#[test]
fn a_cold_server_takes_as_many_times_longer() {
    let mut server = Cores::new(CAPACITY, Time(0));
    server.advance(Time(0), 0.25);
    server.offer(Job { id: 0, work: 1000.0 });
    assert_eq!(server.next(), Some(Time(8000)));
    // Warm half-way: the rest at full speed.
    server.advance(Time(4000), 1.0);
    assert_eq!(server.next(), Some(Time(5000)));
}
