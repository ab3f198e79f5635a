import {StatsD} from 'hot-shots';
import type {Metrics} from '../common/types.js';
import type {SocketAddress} from '../settings/schemas.js';

type Tags = Readonly<Record<string, string>>;

/** Discards all metrics. Used if no collector is set. */
export const noMetrics: Metrics = {
	increment() {
		// No collector is set.
	},
	gauge() {
		// No collector is set.
	},
	timing() {
		// No collector is set.
	},
};

/** Sends metrics in batches to a StatsD collector over UDP. */
export class StatsdMetrics implements Metrics {
	static create(
		address: SocketAddress,
		globalTags: Tags,
		onError: (err: Error) => void,
	): StatsdMetrics {
		return new StatsdMetrics(
			new StatsD({
				host: address.address,
				port: address.port,
				prefix: 'balsamtray.',
				globalTags: {...globalTags},
				maxBufferSize: 1400,
				bufferFlushInterval: 1000,
				errorHandler: onError,
			}),
		);
	}

	private constructor(private readonly _client: StatsD) {}

	increment(name: string, tags: Tags = {}): void {
		this._client.increment(name, 1, {...tags});
	}

	gauge(name: string, value: number, tags: Tags = {}): void {
		this._client.gauge(name, value, {...tags});
	}

	timing(name: string, milliseconds: number, tags: Tags = {}): void {
		this._client.timing(name, milliseconds, {...tags});
	}

	/** Flushes buffered metrics and closes the socket. */
	async close(): Promise<void> {
		await new Promise<void>(resolve => {
			this._client.close(() => {
				resolve();
			});
		});
	}
}
