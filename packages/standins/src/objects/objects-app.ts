import {AppServer} from '../common/app-server.js';
import {faultsSchema} from '../common/fault-schemas.js';
import {FaultInjector} from '../common/fault-injector.js';

type ObjectParams = {Params: {'*': string}};

/** Creates the in-memory object store. `If-None-Match: *` makes a PUT conditional on the object's absence. */
export function createObjectsApp(): AppServer {
	const server = AppServer.create();
	const objects = new Map<string, Uint8Array>();
	FaultInjector.create(faultsSchema).register(server.app);
	server.app.get('/record', () => ({names: [...objects.keys()]}));
	server.app.put<ObjectParams>('/v1/objects/*', (req, res) => {
		const name = req.params['*'];
		if (req.headers['if-none-match'] === '*' && objects.has(name)) {
			return res.code(412).send({error: 'the object already exists'});
		}

		objects.set(
			name,
			req.body instanceof Uint8Array ? req.body : new Uint8Array(),
		);
		return res.send({name});
	});
	server.app.get<ObjectParams>('/v1/objects/*', (req, res) => {
		const bytes = objects.get(req.params['*']);
		return bytes === undefined
			? res.code(404).send({error: 'no such object'})
			: res.type('application/octet-stream').send(bytes);
	});
	return server;
}
