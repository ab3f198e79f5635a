import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import type {FaultInjector} from '../common/fault-injector.js';
import type {EngineFaults} from '../common/fault-schemas.js';
import {isMissing} from '../weights/missing-weights.js';
import type {EngineSettings} from './engine-settings.js';

/** Outcome of fetching an adapter's weights. */
export type FetchResult = 'fetched' | 'missing' | 'failed';

/** Fetches an adapter's weights from the weight store, or only waits for `loadMs` if no store URL is set. */
export async function fetchWeights(
	settings: EngineSettings,
	faults: FaultInjector<EngineFaults>,
	weights: string,
): Promise<FetchResult> {
	const {loadDelayMs = 0, loadErrorShare = 0} = faults.switches;
	if (loadDelayMs > 0) {
		await sleep(loadDelayMs);
	}

	if (faults.consume('failLoads') || Math.random() < loadErrorShare) {
		return 'failed';
	}

	if (settings.weightsUrl === undefined) {
		await sleep(settings.loadMs);
		return isMissing(weights) ? 'missing' : 'fetched';
	}

	return fetchFromStore(settings.weightsUrl, weights);
}

async function fetchFromStore(
	weightsUrl: string,
	weights: string,
): Promise<FetchResult> {
	const path = weights
		.split('/')
		.map(part => encodeURIComponent(part))
		.join('/');
	try {
		const res = await request(`${weightsUrl}/v1/weights/${path}`);
		await res.body.dump();
		if (res.statusCode === 404) {
			return 'missing';
		}

		return res.statusCode === 200 ? 'fetched' : 'failed';
	} catch {
		return 'failed';
	}
}
