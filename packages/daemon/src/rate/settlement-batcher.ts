import type {TransferSettlement} from '@balsamtray/protocol';

const flushDelayMs = 10;
const maxBatchSize = 500;

/** Collects the settlements of transferred tokens and sends them to each holder in batches. */
export class SettlementBatcher {
	static create(
		send: (peer: string, settlements: readonly TransferSettlement[]) => void,
	): SettlementBatcher {
		return new SettlementBatcher(send);
	}

	private _timer: NodeJS.Timeout | undefined;
	private readonly _pending = new Map<string, TransferSettlement[]>();

	private constructor(
		private readonly _send: (
			peer: string,
			settlements: readonly TransferSettlement[],
		) => void,
	) {}

	add(peer: string, settlement: TransferSettlement): void {
		const pending = this._pending.get(peer) ?? [];
		pending.push(settlement);
		this._pending.set(peer, pending);
		if (pending.length >= maxBatchSize) {
			this.flush();
			return;
		}

		this._timer ??= setTimeout(() => {
			this.flush();
		}, flushDelayMs);
	}

	/** Sends all pending settlements. */
	flush(): void {
		clearTimeout(this._timer);
		this._timer = undefined;
		const batches = [...this._pending];
		this._pending.clear();
		for (const [peer, settlements] of batches) {
			this._send(peer, settlements);
		}
	}
}
