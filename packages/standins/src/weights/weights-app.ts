import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {AppServer} from '../common/app-server.js';
import {faultsSchema} from '../common/fault-schemas.js';
import {FaultInjector, readJson} from '../common/fault-injector.js';
import type {Flags} from '../common/flags.js';
import {isMissing} from './missing-weights.js';
import {WeightPacer} from './weight-pacer.js';

const missingSchema = z.array(z.string());

/** Creates the weight store. Weights whose name starts with `missing` or is set by `PUT /missing` do not exist. */
export function createWeightsApp(flags: Flags): AppServer {
	const server = AppServer.create();
	const pacer = WeightPacer.create(flags.number('loads-per-second', 4));
	const record = {loads: 0};
	let missing: ReadonlySet<string> = new Set();
	FaultInjector.create(faultsSchema).register(server.app);
	server.app.get('/record', () => record);
	server.app.put('/missing', req => {
		missing = new Set(missingSchema.parse(readJson(req.body)));
		return {missing: [...missing]};
	});
	server.app.get<{Params: {'*': string}}>('/v1/weights/*', async (req, res) => {
		const name = req.params['*'];
		if (isMissing(name) || missing.has(name)) {
			return res.code(404).send({error: 'weights not found'});
		}

		record.loads++;
		await sleep(pacer.begin(Date.now()));
		pacer.end();
		return res.send({name});
	});
	return server;
}
