/** Times of the last known contact between this VM's data centre and each other one. */
export class DataCentreContacts {
  private readonly contactAtMs = new Map<string, number>();

  /** Records a contact that took place `ageMs` ago, unless a later one is known. */
  recordContact(dataCentre: string, ageMs: number, nowMs: number): void {
    const known = this.contactAtMs.get(dataCentre) ?? -Infinity;
    this.contactAtMs.set(dataCentre, Math.max(known, nowMs - ageMs));
  }

  /** Milliseconds since the last contact; if none is known, since the first call of this method. */
  ageMs(dataCentre: string, nowMs: number): number {
    const known = this.contactAtMs.get(dataCentre);
    if (known === undefined) this.contactAtMs.set(dataCentre, nowMs);
    return nowMs - (known ?? nowMs);
  }

  /** Ages of all contacts in milliseconds, to be sent to members of the same data centre. */
  contactAges(nowMs: number): Readonly<Record<string, number>> {
    const entries = [...this.contactAtMs].map(([name, atMs]) => [name, Math.round(nowMs - atMs)]);
    return Object.fromEntries(entries) as Record<string, number>;
  }

  /** Excludes a pause of this process, in which it could not receive, from all contact ages. */
  excludePause(pausedMs: number): void {
    for (const [name, atMs] of this.contactAtMs) this.contactAtMs.set(name, atMs + pausedMs);
  }
}
