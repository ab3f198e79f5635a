import type {FastifyInstance} from 'fastify';
import type {BackendRecorder} from './backend-recorder.js';
import {readJson} from './fault-injector.js';
import {controlOrderSchema, type ControlOrder} from './fault-schemas.js';

/** Serves the record and the orders of a test. The order is carried out after its answer went out. */
export function registerControl(
	app: FastifyInstance,
	recorder: BackendRecorder,
	carryOut: (order: ControlOrder) => void,
): void {
	app.get('/record', () => recorder.toRecord());
	app.delete('/record', () => {
		recorder.clear();
		return {cleared: true};
	});
	app.post('/control', async (req, res) => {
		const order = controlOrderSchema.parse(readJson(req.body));
		await res.send({order: order.order});
		setImmediate(() => {
			carryOut(order);
		});
	});
}
