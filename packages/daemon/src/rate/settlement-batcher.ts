import type {TransferSettlement} from '@balsamtray/protocol';

const flushMs = 10;
const mostSettlements = 500;

/** Collects what became of transferred tokens and sends it in batches, one for each holder. */
export class SettlementBatcher {
	static create(
		send: (peer: string, settlements: readonly TransferSettlement[]) => void,
	): SettlementBatcher {
		return new SettlementBatcher(send);
	}

	private _timer: NodeJS.Timeout | undefined;
	private readonly _waiting = new Map<string, TransferSettlement[]>();

	private constructor(
		private readonly _send: (
			peer: string,
			settlements: readonly TransferSettlement[],
		) => void,
	) {}

	add(peer: string, settlement: TransferSettlement): void {
		const waiting = this._waiting.get(peer) ?? [];
		waiting.push(settlement);
		this._waiting.set(peer, waiting);
		if (waiting.length >= mostSettlements) {
			this.flush();
			return;
		}

		this._timer ??= setTimeout(() => {
			this.flush();
		}, flushMs);
	}

	/** Sends what waits. */
	flush(): void {
		clearTimeout(this._timer);
		this._timer = undefined;
		const batches = [...this._waiting];
		this._waiting.clear();
		for (const [peer, settlements] of batches) {
			this._send(peer, settlements);
		}
	}
}
