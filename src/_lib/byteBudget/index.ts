/** For which outside parties bytes are held in memory. */
export enum ByteHolder {
  /** Calls in progress with their heads, also while they wait. */
  Calls = "calls",
  /** Heads of requests that are not complete. */
  RequestHeads = "request-heads",
  CallerBodies = "caller-bodies",
  /** Answers of servers, until they are complete. */
  ServerAnswers = "server-answers",
  /** Events of generations' streams that are not complete. */
  StreamEvents = "stream-events",
  /** Answers and events that callers have not read yet. */
  UnreadAnswers = "unread-answers",
  Tunnels = "tunnels",
  /** Replicas that peers are sent. */
  Peers = "peers",
  /** Answers of the readiness and metrics servers that clients have not read yet. */
  StatusAnswers = "status-answers",
  Store = "store",
  EngineControl = "engine-control",
}

/** How a reservation of bytes may be ended by others. */
export interface ReservationOptions {
  readonly holder: ByteHolder;
  /**
   * Ends what holds the bytes, as the budget is exceeded and this is the largest reservation. Without it the
   * reservation stays.
   */
  readonly onEvicted?: () => void;
}

/**
 * Bounds the sum of the bytes that a process holds for outside parties. Bytes that have arrived are counted
 * in any case; while the sum exceeds the limit, the largest reservations are evicted, so that a party that sends
 * without end makes room for the others. New work is to be refused before that: `hasRoomFor`, `hasRoomForCalls`.
 */
export class ByteBudget {
  private readonly reservations = new Set<ByteReservation>();
  private readonly heldByHolder = new Map<ByteHolder, number>();
  private readonly evictionsByHolder = new Map<ByteHolder, number>();
  private heldBytes = 0;

  /** @param limitBytes - sum above which reservations are evicted */
  constructor(readonly limitBytes: number) {}

  /** Sum of all reservations, in bytes. */
  get usedBytes(): number {
    return this.heldBytes;
  }

  /** Sum of the bytes that were received, without the estimated memory of calls. */
  get receivedBytes(): number {
    return this.heldBytes - this.heldFor(ByteHolder.Calls);
  }

  /** Whether the byte budget has room for another call. */
  get hasRoomForCalls(): boolean {
    return this.heldFor(ByteHolder.Calls) <= NEARLY_FULL_RATIO * this.limitBytes;
  }

  /** Whether new work may be taken that will receive a number of bytes. */
  hasRoomFor(sizeBytes: number): boolean {
    return this.receivedBytes + sizeBytes <= NEARLY_FULL_RATIO * this.limitBytes;
  }

  /** Returns the bytes that are held for a party. */
  heldFor(holder: ByteHolder): number {
    return this.heldByHolder.get(holder) ?? 0;
  }

  /** Returns how many reservations of a party were evicted so far. */
  evictionsOf(holder: ByteHolder): number {
    return this.evictionsByHolder.get(holder) ?? 0;
  }

  /** Opens a reservation of zero bytes, to be disposed of when its bytes are no longer held. */
  open(options: ReservationOptions): ByteReservation {
    const reservation = new ByteReservation(options, (changeBytes) => {
      this.change(reservation, changeBytes);
    });
    return reservation;
  }

  /** Evicts the largest reservation of a holder; returns whether there was one. */
  evictLargest(holder: ByteHolder): boolean {
    const largest = this.findLargestEvictable(holder);
    if (largest !== null) this.evict(largest);
    return largest !== null;
  }

  private change(reservation: ByteReservation, changeBytes: number): void {
    const { holder } = reservation.options;
    this.heldBytes += changeBytes;
    this.heldByHolder.set(holder, this.heldFor(holder) + changeBytes);
    if (reservation.sizeBytes > 0) this.reservations.add(reservation);
    else this.reservations.delete(reservation);
    if (changeBytes > 0) this.evictWhileExceeded();
  }

  private evictWhileExceeded(): void {
    while (this.heldBytes > this.limitBytes) {
      const largest = this.findLargestEvictable();
      if (largest === null) return;
      this.evict(largest);
    }
  }

  /** Evicts a reservation. */
  evict(reservation: ByteReservation): void {
    const { holder, onEvicted } = reservation.options;
    this.evictionsByHolder.set(holder, this.evictionsOf(holder) + 1);
    reservation[Symbol.dispose]();
    onEvicted?.();
  }

  private findLargestEvictable(holder: ByteHolder | null = null): ByteReservation | null {
    let largest: ByteReservation | null = null;
    for (const reservation of this.reservations) {
      const { options } = reservation;
      const isEvictable =
        options.onEvicted !== undefined && (holder === null || options.holder === holder);
      if (isEvictable && reservation.sizeBytes > (largest?.sizeBytes ?? 0)) largest = reservation;
    }
    return largest;
  }
}

/** Share of the limit above which new work should be refused. */
const NEARLY_FULL_RATIO = 0.75;

/** Bytes that are held for one request, answer or connection. */
export class ByteReservation implements Disposable {
  private heldBytes = 0;
  private isEnded = false;

  constructor(
    readonly options: ReservationOptions,
    private readonly onChange: (changeBytes: number) => void,
  ) {}

  /** Size of the reservation, in bytes. */
  get sizeBytes(): number {
    return this.heldBytes;
  }

  /** Whether the reservation was disposed of or evicted; it then counts nothing any more. */
  get hasEnded(): boolean {
    return this.isEnded;
  }

  /** Counts bytes that have arrived; may evict this reservation or others. */
  grow(bytes: number): void {
    this.resize(this.heldBytes + bytes);
  }

  /** Sets the size, for example to what a stream's buffer holds now. */
  resize(sizeBytes: number): void {
    if (this.isEnded) return;
    const changeBytes = sizeBytes - this.heldBytes;
    this.heldBytes = sizeBytes;
    this.onChange(changeBytes);
  }

  [Symbol.dispose](): void {
    this.resize(0);
    this.isEnded = true;
  }
}
