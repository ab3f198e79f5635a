import {z} from 'zod';
import {AppServer} from '../common/app-server.js';
import {faultsSchema} from '../common/fault-schemas.js';
import {FaultInjector, readJson} from '../common/fault-injector.js';

const hostsSchema = z.object({
	hosts: z.array(z.looseObject({id: z.string(), role: z.string()})),
});

/** Creates the service for the platform's host list. Its ETag changes with each new list. */
export function createHostsApp(): AppServer {
	const server = AppServer.create();
	let hosts: z.infer<typeof hostsSchema>['hosts'] = [];
	let revision = 0;
	FaultInjector.create(faultsSchema).register(server.app);
	server.app.put('/v1/hosts', req => {
		({hosts} = hostsSchema.parse(readJson(req.body)));
		revision++;
		return {revision};
	});
	server.app.get('/v1/hosts', (req, res) => {
		const etag = `"${revision}"`;
		void res.header('etag', etag);
		return req.headers['if-none-match'] === etag
			? res.code(304).send()
			: res.send({hosts});
	});
	return server;
}
